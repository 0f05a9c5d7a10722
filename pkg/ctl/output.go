package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// print writes value as JSON or calls printText, depending on -o.
func (s *session) print(value any, printText func(io.Writer)) error {
	if s.options.output != outputJSON {
		printText(s.Stdout)
		return nil
	}
	encoder := json.NewEncoder(s.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// progress prints a message about a long command to the standard error output.
func (s *session) progress(format string, args ...any) {
	fmt.Fprintf(s.Stderr, format+"\n", args...)
}

// table writes rows in aligned columns. An empty header is left out.
func table[T any](w io.Writer, header string, rows []T, columns func(T) []any) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(writer, header)
	}
	for _, row := range rows {
		cells := make([]string, 0)
		for _, cell := range columns(row) {
			cells = append(cells, fmt.Sprint(cell))
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	writer.Flush()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
