// Package rawjson splits JSON arrays and objects into their parts without decoding the
// parts. encoding/json checks a whole document before it decodes any of it, so that one
// part that it does not accept, for example a deeply nested one, hides all others.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Elements returns the elements of a JSON array; none for null. The elements share the
// memory of text and may be invalid JSON.
func Elements(text []byte) ([][]byte, error) {
	var elements [][]byte
	err := split(text, '[', ']', func(s *scanner) error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// Members returns the values of the members of a JSON object by name; none for null. Of
// equal names the last one counts. The values share the memory of text and may be
// invalid JSON.
func Members(text []byte) (map[string][]byte, error) {
	members := make(map[string][]byte)
	err := split(text, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// split calls readPart for each part between an opening and a closing bracket.
func split(text []byte, opening, closing byte, readPart func(*scanner) error) error {
	s := &scanner{text: text}
	if s.skipSpace(); bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		return nil
	}
	if !s.accept(opening) {
		return eris.Errorf("JSON text does not begin with %q", opening)
	}
	for isFirst := true; !s.accept(closing); isFirst = false {
		if !isFirst && !s.accept(',') {
			return eris.Errorf("no comma or %q at offset %d of the JSON text", closing, s.position)
		}
		if err := readPart(s); err != nil {
			return err
		}
	}
	if s.position < len(s.text) {
		return eris.Errorf("unexpected text at offset %d behind the JSON value", s.position)
	}
	return nil
}

var errTruncated = eris.New("JSON text ends early")

type scanner struct {
	text     []byte
	position int
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func (s *scanner) skipSpace() {
	for s.position < len(s.text) && isSpace(s.text[s.position]) {
		s.position++
	}
}

// accept skips c and the space behind it, and reports whether c was next.
func (s *scanner) accept(c byte) bool {
	if s.position >= len(s.text) || s.text[s.position] != c {
		return false
	}
	s.position++
	s.skipSpace()
	return true
}

// name reads the name of a member and the colon behind it.
func (s *scanner) name() (string, error) {
	start := s.position
	if start >= len(s.text) || s.text[start] != '"' || !s.skipString() {
		return "", eris.Errorf("no member name at offset %d of the JSON text", start)
	}
	var name string
	if err := json.Unmarshal(s.text[start:s.position], &name); err != nil {
		return "", eris.Wrapf(err, "member name at offset %d of the JSON text", start)
	}
	s.skipSpace()
	if !s.accept(':') {
		return "", eris.Errorf("no colon at offset %d of the JSON text", s.position)
	}
	return name, nil
}

// skipString skips the string at the position and reports whether it is complete.
func (s *scanner) skipString() bool {
	for s.position++; s.position < len(s.text); s.position++ {
		switch s.text[s.position] {
		case '\\':
			s.position++
		case '"':
			s.position++
			return true
		}
	}
	return false
}

// value reads one value and the space behind it. It counts brackets instead of calling
// itself, so that the depth is not limited.
func (s *scanner) value() ([]byte, error) {
	start, depth := s.position, 0
	for s.position < len(s.text) {
		c := s.text[s.position]
		if depth == 0 && s.position > start && (c == ',' || c == ']' || c == '}' || isSpace(c)) {
			break
		}
		switch c {
		case '"':
			if !s.skipString() {
				return nil, errTruncated
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth < 0 || depth == 0 && c == ',' {
			return nil, eris.Errorf("no JSON value at offset %d", s.position)
		}
		s.position++
	}
	if depth > 0 || s.position > len(s.text) || s.position == start {
		return nil, errTruncated
	}
	value := s.text[start:s.position]
	s.skipSpace()
	return value, nil
}
