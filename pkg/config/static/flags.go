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

// Faults is the error that Load returns for bad settings, one line per fault.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// ParseFlags sets flags from args and then, for flags that args do not give,
// from variables in env ("NAME=value") that begin with EnvPrefix.
func ParseFlags(flags *flag.FlagSet, args, env []string) error {
	// ff reads only the environment of the process. An empty file with a parser
	// that ignores its content makes it take env instead.
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

// unknownVariables returns the variables in env with EnvPrefix that set no flag.
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

// setting is a flag whose value is checked after all flags are read, so that
// all faults are reported at once.
type setting struct {
	name, text string
	check      func(text string) error
}

// String implements flag.Value.
func (s *setting) String() string { return s.text }

// Set implements flag.Value.
func (s *setting) Set(text string) error {
	s.text = text
	return nil
}

// loader holds the settings while they are read.
type loader struct {
	flags    *flag.FlagSet
	settings []*setting
	faults   Faults
}

func (l *loader) add(name, fallback, usage string, check func(text string) error) {
	s := &setting{name: name, text: fallback, check: check}
	l.settings = append(l.settings, s)
	l.flags.Var(s, name, usage)
}

func (l *loader) fault(name, format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf("-%s (%s): ", name, EnvVarName(name))+fmt.Sprintf(format, args...))
}

// check runs the check of each setting and keeps the faults.
func (l *loader) check() {
	for _, s := range l.settings {
		if err := s.check(s.text); err != nil {
			l.fault(s.name, "%v", err)
		}
	}
}

func (l *loader) print(output io.Writer) {
	sorted := slices.Clone(l.settings)
	slices.SortFunc(sorted, func(a, b *setting) int { return strings.Compare(a.name, b.name) })
	for _, s := range sorted {
		fmt.Fprintf(output, "%s=%s\n", EnvVarName(s.name), s.text)
	}
}
