package static

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

// Faults is the error that Load returns for invalid settings: one line per
// validation error.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// ParseFlags sets flags from args. Flags that args do not set are set from the
// variables in env ("NAME=value") whose names begin with EnvPrefix.
func ParseFlags(flags *flag.FlagSet, args, env []string) error {
	// ff reads environment variables only from the process. A parser for an empty
	// configuration file, which reads env in place of the file, makes ff use env.
	parse := func(_ io.Reader, set func(name, value string) error) error {
		for _, variable := range env {
			name, value, _ := strings.Cut(variable, "=")
			name, ok := strings.CutPrefix(name, EnvPrefix)
			if !ok || value == "" {
				continue
			}
			if err := set(name, value); err != nil {
				return eris.Wrapf(err, "environment variable %s%s", EnvPrefix, name)
			}
		}
		return nil
	}
	return ff.Parse(flags, args,
		ff.WithConfigFile(os.DevNull), ff.WithConfigFileParser(parse), ff.WithIgnoreUndefined(true))
}

// unknownVariables returns the names of the variables in env that begin with
// EnvPrefix and belong to no flag.
func unknownVariables(flags *flag.FlagSet, env []string) []string {
	known := make(map[string]bool)
	flags.VisitAll(func(f *flag.Flag) { known[EnvVarName(f.Name)] = true })
	var unknown []string
	for _, variable := range env {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// EnvVarName returns the environment variable that sets a flag.
func EnvVarName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// setting is a flag whose value is parsed after all flags are read, so that all
// validation errors are reported together.
type setting struct {
	name, text string
	parse      func(text string) error
}

// String implements flag.Value.
func (s *setting) String() string { return s.text }

// Set implements flag.Value.
func (s *setting) Set(text string) error {
	s.text = text
	return nil
}

// loader holds the settings and their validation errors while Load runs.
type loader struct {
	flags    *flag.FlagSet
	settings []*setting
	faults   Faults
}

func (l *loader) add(name, defaultText, usage string, parse func(text string) error) {
	s := &setting{name: name, text: defaultText, parse: parse}
	l.settings = append(l.settings, s)
	l.flags.Var(s, name, usage)
}

// addFault records a validation error of the flag called name.
func (l *loader) addFault(name, format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf("-%s (%s): ", name, EnvVarName(name))+fmt.Sprintf(format, args...))
}

// parseSettings parses the text of each setting and records validation errors.
func (l *loader) parseSettings() {
	for _, s := range l.settings {
		if err := s.parse(s.text); err != nil {
			l.addFault(s.name, "%v", err)
		}
	}
}

// print writes all settings in the form of environment variables, by name.
func (l *loader) print(output io.Writer) {
	sorted := slices.Clone(l.settings)
	slices.SortFunc(sorted, func(a, b *setting) int { return strings.Compare(a.name, b.name) })
	for _, s := range sorted {
		fmt.Fprintf(output, "%s=%s\n", EnvVarName(s.name), s.text)
	}
}
