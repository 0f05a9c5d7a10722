package dynamic

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation error of the lists.
type Fault struct {
	// File is empty and Line is 0 if the error has no single position.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the path to the invalid value, for example
	// "services[stock].routes[check].deadline".
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail"`
}

// String returns the validation error as "file:line: field: detail".
func (f Fault) String() string {
	var text strings.Builder
	if f.File != "" {
		text.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d", f.Line)
		}
		text.WriteString(": ")
	}
	if f.Field != "" {
		text.WriteString(f.Field + ": ")
	}
	text.WriteString(f.Detail)
	return text.String()
}

// Faults is the error that Parse and ValidateMoves return: all validation errors of
// the lists, ordered by file and line.
type Faults []Fault

// Error returns one line per validation error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// sort orders f by file and line.
func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
