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

// place is where a value stands in the files.
type place struct {
	file  string
	line  int
	field string
}

// collector gathers faults, definitions and references over all files.
type collector struct {
	faults Faults
	// omitted is the number of faults beyond maxFaults.
	omitted int
	// places holds the finishing times of moves, which are checked later.
	places     map[string]place
	defined    map[string]place
	references []reference
	// incomplete is set if part of a file could not be read, so that missing
	// definitions mean nothing.
	incomplete bool
}

// reference is the use of a name that must be defined somewhere in the lists.
type reference struct {
	at     place
	symbol string
}

func newCollector() *collector {
	return &collector{places: make(map[string]place), defined: make(map[string]place)}
}

// maxFaults bounds the faults that are kept, so that a file of another kind
// does not fill the memory with them.
const maxFaults = 1000

func (c *collector) fault(at place, format string, args ...any) {
	if len(c.faults) >= maxFaults {
		c.omitted++
		return
	}
	c.faults = append(c.faults, Fault{File: at.file, Line: at.line, Field: at.field, Detail: fmt.Sprintf(format, args...)})
}

// result returns all faults in order, or nil if there are none.
func (c *collector) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	c.faults.sort()
	if c.omitted > 0 {
		c.faults = append(c.faults, Fault{Detail: fmt.Sprintf("%d more faults are not shown", c.omitted)})
	}
	return c.faults
}

// define notes that symbol, such as `plan "basic"`, is defined at a place.
func (c *collector) define(at place, symbol string) {
	if first, ok := c.defined[symbol]; ok {
		c.fault(at, "%s is defined twice, first in %s:%d", symbol, first.file, first.line)
		return
	}
	c.defined[symbol] = at
}

func (c *collector) refer(at place, symbol string) {
	c.references = append(c.references, reference{at: at, symbol: symbol})
}

// checkReferences reports each reference to a symbol that is not defined.
func (c *collector) checkReferences() {
	if c.incomplete {
		return
	}
	for _, ref := range c.references {
		if _, ok := c.defined[ref.symbol]; !ok {
			c.fault(ref.at, "%s is not defined", ref.symbol)
		}
	}
}

// value is a YAML node with its place.
type value struct {
	*collector
	node *yaml.Node
	at   place
}

func (v value) fail(format string, args ...any) { v.fault(v.at, format, args...) }

// documents returns the YAML documents of a file. A syntax error is a fault.
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
			line, detail := syntaxError(err)
			c.fault(place{file: file.Name, line: line}, "not valid YAML: %s", detail)
			c.incomplete = true
			return documents
		}
		if len(node.Content) == 1 && !isNull(node.Content[0]) {
			root := node.Content[0]
			documents = append(documents, value{c, root, place{file: file.Name, line: root.Line}})
		}
	}
}

var (
	syntaxPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)
	// zeroBasedPattern matches the messages of yaml.v3's parser, which counts
	// lines from 0, unlike its scanner.
	zeroBasedPattern = regexp.MustCompile(`^did not find expected (<document start>|node content|'-'|key|',' or)`)
)

// syntaxError splits an error of yaml.v3 into line, 0 if unknown, and detail.
func syntaxError(err error) (line int, detail string) {
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

// object is a YAML mapping whose fields are read one by one; close reports
// the fields that nothing read.
type object struct {
	value
	fields map[string]*yaml.Node
	order  []*yaml.Node
	read   map[string]bool
}

// object returns v as a mapping, or nil after reporting a fault.
func (v value) object() *object {
	if v.node.Kind != yaml.MappingNode {
		v.fail("must be a mapping of fields")
		return nil
	}
	o := &object{value: v, fields: make(map[string]*yaml.Node), read: make(map[string]bool)}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		key, content := v.node.Content[i], v.node.Content[i+1]
		if _, ok := o.fields[key.Value]; ok {
			v.fault(o.place(key.Value, key), "field is given twice")
			continue
		}
		o.fields[key.Value] = content
		o.order = append(o.order, key)
	}
	return o
}

func (o *object) place(name string, node *yaml.Node) place {
	field := name
	if o.at.field != "" {
		field = o.at.field + "." + name
	}
	return place{file: o.at.file, line: node.Line, field: field}
}

// close reports all fields that were not read as unknown.
func (o *object) close() {
	for _, key := range o.order {
		if !o.read[key.Value] {
			o.fault(o.place(key.Value, key), "unknown field")
		}
	}
}

// field returns a field that is present and not null.
func (o *object) field(name string) (value, bool) {
	o.read[name] = true
	node, ok := o.fields[name]
	if !ok || isNull(node) {
		return value{}, false
	}
	return value{o.collector, node, o.place(name, node)}, true
}

// require is field that reports a missing field.
func (o *object) require(name string) (value, bool) {
	v, ok := o.field(name)
	if !ok {
		o.fault(o.place(name, o.node), "is required")
	}
	return v, ok
}

// items returns the elements of a list of at most limit elements.
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
		at := place{file: v.at.file, line: node.Line, field: fmt.Sprintf("%s[%s]", v.at.field, label(node, i))}
		items = append(items, value{v.collector, node, at})
	}
	return items
}

// label names an element in paths: its name if it has one, else its index.
func label(node *yaml.Node, index int) string {
	for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
		key, content := node.Content[i].Value, node.Content[i+1]
		if (key == "name" || key == "service") && namePattern.MatchString(content.Value) {
			return content.Value
		}
	}
	return strconv.Itoa(index)
}

// text returns a scalar as written. Aliases are refused with all else that is
// not a plain scalar, so that a small file cannot expand into a large one.
func (v value) text() (string, bool) {
	if v.node.Kind != yaml.ScalarNode || isNull(v.node) {
		v.fail("must be a single value")
		return "", false
	}
	return v.node.Value, true
}

func (v value) matching(pattern *regexp.Regexp, rule string) string {
	text, ok := v.text()
	if ok && !pattern.MatchString(text) {
		v.fail("%s must be %s", quoted(text), rule)
	}
	return text
}

// maxQuotedBytes bounds how much of a faulty value a message repeats.
const maxQuotedBytes = 80

func quoted(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}

func (v value) duration(least, most time.Duration) time.Duration {
	text, ok := v.text()
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		v.fail(`%s must be a duration with a unit, such as "250ms" or "24h"`, quoted(text))
	} else if d < least || d > most {
		v.fail("%s must be from %s to %s", d, least, most)
	}
	return d
}

func (v value) integer(least, most int) int {
	text, ok := v.text()
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		v.fail("%s must be a whole number from %d to %d", quoted(text), least, most)
	}
	return n
}

// number returns a finite number of which valid is true.
func (v value) number(valid func(float64) bool, rule string) float64 {
	text, ok := v.text()
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || !valid(n) {
		v.fail("%s must be a number %s", quoted(text), rule)
		return 0
	}
	return n
}

func (v value) boolean() bool {
	text, ok := v.text()
	if ok && text != "true" && text != "false" {
		v.fail("%s must be true or false", quoted(text))
	}
	return text == "true"
}

// time returns a time in whole seconds, the resolution of parts.
func (v value) time() time.Time {
	text, ok := v.text()
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil || t.Year() < 1 || t.Year() > 9999 {
		v.fail(`%s must be a time with a zone, such as "2026-05-31T18:00:00Z"`, quoted(text))
		return time.Time{}
	}
	return t.UTC().Truncate(time.Second)
}
