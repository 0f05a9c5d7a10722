package dynamic

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"
)

// position is the location of a value in the files.
type position struct {
	file  string
	line  int
	field string
}

// collector collects validation errors, definitions and references from all files.
type collector struct {
	faults Faults
	// omittedFaults is the number of validation errors beyond maxFaults.
	omittedFaults int
	// movePositions holds the positions of the moves' finishing times by field path.
	// ValidateMoves checks these times later and reports the positions.
	movePositions map[string]position
	// definitions holds the position of each defined symbol.
	definitions map[string]position
	references  []reference
	// incomplete is set if a part of a file could not be parsed. References are then
	// not checked, because their definitions may be in that part.
	incomplete bool
}

// reference is the use of a symbol that must be defined somewhere in the lists.
type reference struct {
	pos    position
	symbol string
}

func newCollector() *collector {
	return &collector{movePositions: make(map[string]position), definitions: make(map[string]position)}
}

// maxFaults bounds the validation errors that are retained, and so the memory that
// they take if a file that is not a list is given.
const maxFaults = 1000

// addFault records a validation error, or counts it if there are too many.
func (c *collector) addFault(pos position, format string, args ...any) {
	if len(c.faults) >= maxFaults {
		c.omittedFaults++
		return
	}
	c.faults = append(c.faults, Fault{File: pos.file, Line: pos.line, Field: pos.field, Detail: fmt.Sprintf(format, args...)})
}

// result returns all validation errors as Faults, ordered by file and line, or nil
// if there are none.
func (c *collector) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	c.faults.sort()
	if c.omittedFaults > 0 {
		c.faults = append(c.faults, Fault{Detail: fmt.Sprintf("%d more faults are not shown", c.omittedFaults)})
	}
	return c.faults
}

// addDefinition records the position at which symbol, such as `plan "basic"`, is
// defined. A second definition is a validation error.
func (c *collector) addDefinition(pos position, symbol string) {
	if first, ok := c.definitions[symbol]; ok {
		c.addFault(pos, "%s is defined twice, first in %s:%d", symbol, first.file, first.line)
		return
	}
	c.definitions[symbol] = pos
}

// addReference records a use of symbol for checkReferences.
func (c *collector) addReference(pos position, symbol string) {
	c.references = append(c.references, reference{pos: pos, symbol: symbol})
}

// checkReferences reports each reference to a symbol that is not defined.
func (c *collector) checkReferences() {
	if c.incomplete {
		return
	}
	for _, ref := range c.references {
		if _, ok := c.definitions[ref.symbol]; !ok {
			c.addFault(ref.pos, "%s is not defined", ref.symbol)
		}
	}
}

// value is a YAML node with its position.
type value struct {
	*collector
	node *yaml.Node
	pos  position
}

// fail records a validation error at the position of v.
func (v value) fail(format string, args ...any) { v.addFault(v.pos, format, args...) }

// documents returns the YAML documents of a file that are not empty. A syntax error
// is recorded as a validation error and ends the file.
func (c *collector) documents(file File) []value {
	var documents []value
	decoder := yaml.NewDecoder(bytes.NewReader(file.Data))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return documents
		}
		if err != nil {
			line, detail := splitSyntaxError(err)
			c.addFault(position{file: file.Name, line: line}, "not valid YAML: %s", detail)
			c.incomplete = true
			return documents
		}
		if len(node.Content) == 1 && !isNull(node.Content[0]) {
			root := node.Content[0]
			documents = append(documents, value{c, root, position{file: file.Name, line: root.Line}})
		}
	}
}

var (
	syntaxPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)
	// zeroBasedPattern matches the messages of yaml.v3's parser, which counts lines
	// from 0. Its scanner counts them from 1.
	zeroBasedPattern = regexp.MustCompile(`^did not find expected (<document start>|node content|'-'|key|',' or)`)
)

// splitSyntaxError splits an error of yaml.v3 into its line, 0 if unknown, and detail.
func splitSyntaxError(err error) (line int, detail string) {
	match := syntaxPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0, err.Error()
	}
	line, _ = strconv.Atoi(match[1])
	if zeroBasedPattern.MatchString(match[2]) {
		line++
	}
	return line, match[2]
}

func isNull(node *yaml.Node) bool { return node.Kind == yaml.ScalarNode && node.Tag == "!!null" }

// object is a YAML mapping. It remembers which fields were read, so that
// reportUnknownFields finds the others.
type object struct {
	value
	fields     map[string]*yaml.Node
	keys       []*yaml.Node
	readFields map[string]bool
}

// object returns v as a mapping. If it is none, object records a validation error
// and returns nil.
func (v value) object() *object {
	if v.node.Kind != yaml.MappingNode {
		v.fail("must be a mapping of fields")
		return nil
	}
	o := &object{value: v, fields: make(map[string]*yaml.Node), readFields: make(map[string]bool)}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		key, content := v.node.Content[i], v.node.Content[i+1]
		if _, ok := o.fields[key.Value]; ok {
			v.addFault(o.position(key.Value, key), "field is given twice")
			continue
		}
		o.fields[key.Value] = content
		o.keys = append(o.keys, key)
	}
	return o
}

// position returns the position of node, which belongs to the field called name.
func (o *object) position(name string, node *yaml.Node) position {
	field := name
	if o.pos.field != "" {
		field = o.pos.field + "." + name
	}
	return position{file: o.pos.file, line: node.Line, field: field}
}

// reportUnknownFields records a validation error for each field that was not read.
func (o *object) reportUnknownFields() {
	for _, key := range o.keys {
		if !o.readFields[key.Value] {
			o.addFault(o.position(key.Value, key), "unknown field")
		}
	}
}

// field returns a field that is present and not null.
func (o *object) field(name string) (value, bool) {
	o.readFields[name] = true
	node, ok := o.fields[name]
	if !ok || isNull(node) {
		return value{}, false
	}
	return value{o.collector, node, o.position(name, node)}, true
}

// require is like field, but records a validation error if the field is missing.
func (o *object) require(name string) (value, bool) {
	v, ok := o.field(name)
	if !ok {
		o.addFault(o.position(name, o.node), "is required")
	}
	return v, ok
}

// items returns the elements of a list. If v is no list or has more than limit
// elements, items records a validation error and returns nil.
func (v value) items(limit int) []value {
	if v.node.Kind != yaml.SequenceNode {
		v.fail("must be a list")
		return nil
	}
	if len(v.node.Content) > limit {
		v.fail("has %d elements, the limit is %d", len(v.node.Content), limit)
		return nil
	}
	items := make([]value, 0, len(v.node.Content))
	for i, node := range v.node.Content {
		pos := position{file: v.pos.file, line: node.Line, field: fmt.Sprintf("%s[%s]", v.pos.field, elementLabel(node, i))}
		items = append(items, value{v.collector, node, pos})
	}
	return items
}

// elementLabel returns what identifies a list element in field paths: its name or
// service if it has one, else its index.
func elementLabel(node *yaml.Node, index int) string {
	for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
		key, content := node.Content[i].Value, node.Content[i+1]
		if (key == "name" || key == "service") && namePattern.MatchString(content.Value) {
			return content.Value
		}
	}
	return strconv.Itoa(index)
}

// text returns a scalar as written. Everything else is rejected, also an alias,
// because aliases can expand a small file into a large one.
func (v value) text() (string, bool) {
	if v.node.Kind != yaml.ScalarNode || isNull(v.node) {
		v.fail("must be a single value")
		return "", false
	}
	return v.node.Value, true
}

// textMatching returns a scalar as written. It records a validation error that
// quotes rule if the text does not match pattern.
func (v value) textMatching(pattern *regexp.Regexp, rule string) string {
	text, ok := v.text()
	if ok && !pattern.MatchString(text) {
		v.fail("%s must be %s", quoteTruncated(text), rule)
	}
	return text
}

// maxQuotedBytes bounds how much of an invalid value an error message quotes.
const maxQuotedBytes = 80

// quoteTruncated quotes text, truncated to maxQuotedBytes.
func quoteTruncated(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}

func (v value) duration(minValue, maxValue time.Duration) time.Duration {
	text, ok := v.text()
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		v.fail(`%s must be a duration with a unit, such as "250ms" or "24h"`, quoteTruncated(text))
	} else if d < minValue || d > maxValue {
		v.fail("%s must be from %s to %s", d, minValue, maxValue)
	}
	return d
}

func (v value) integer(minValue, maxValue int) int {
	text, ok := v.text()
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < minValue || n > maxValue {
		v.fail("%s must be a whole number from %d to %d", quoteTruncated(text), minValue, maxValue)
	}
	return n
}

// number returns a finite number that valid accepts, or 0 after it recorded a
// validation error that quotes rule.
func (v value) number(valid func(float64) bool, rule string) float64 {
	text, ok := v.text()
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || !valid(n) {
		v.fail("%s must be a number %s", quoteTruncated(text), rule)
		return 0
	}
	return n
}

func (v value) boolean() bool {
	text, ok := v.text()
	if ok && text != "true" && text != "false" {
		v.fail("%s must be true or false", quoteTruncated(text))
	}
	return text == "true"
}

// time returns a time in UTC, truncated to seconds, the resolution at which parts
// encode times.
func (v value) time() time.Time {
	text, ok := v.text()
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil || t.Year() < 1 || t.Year() > 9999 {
		v.fail(`%s must be a time with a zone, such as "2026-05-31T18:00:00Z"`, quoteTruncated(text))
		return time.Time{}
	}
	return t.UTC().Truncate(time.Second)
}
