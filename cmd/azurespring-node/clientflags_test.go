package main

import (
	"flag"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/sidecar"
)

// Each limit on clients must be settable by its flag and its environment variable, and a
// flag has precedence. A limit that is silently ignored is noticed only under attack.
func TestEachClientLimitIsSettable(t *testing.T) {
	flags := flag.NewFlagSet("sidecar", flag.ContinueOnError)
	clientFlags(flags)
	var names []string
	flags.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	for _, name := range names {
		value := "7"
		if strings.HasSuffix(name, "timeout") || strings.HasSuffix(name, "stall") || strings.HasSuffix(name, "after") {
			value = "7s"
		}
		parse := func(args ...string) sidecar.ClientLimits {
			flags := flag.NewFlagSet("sidecar", flag.ContinueOnError)
			c := clientFlags(flags)
			assert.NilError(t, parseFlags(flags, args))
			assert.NilError(t, c.Validate())
			return *c
		}
		byFlag := parse("-"+name, value)
		assert.Assert(t, byFlag != sidecar.ClientLimits{}, "-%s sets nothing", name)
		env := "AZURESPRING_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		t.Setenv(env, value)
		assert.Equal(t, parse(), byFlag, env)
		t.Setenv(env, strings.Replace(value, "7", "8", 1))
		assert.Equal(t, parse("-"+name, value), byFlag, "the flag has precedence")
		t.Setenv(env, "")
	}
}

// Limits that cannot be used must be reported before the node starts.
func TestUnusableClientLimitsAreRefused(t *testing.T) {
	for _, c := range []sidecar.ClientLimits{
		{MemoryBytes: -1}, {HeaderFields: -1}, {HeaderBytes: 1 << 20}, {WriteStall: -time.Second}, {MinBytesPerSecond: -1}, {LocalDescriptors: -1},
	} {
		assert.Assert(t, c.Validate() != nil, "%+v", c)
	}
	for _, args := range [][]string{{"-client-memory", "many"}, {"-client-header-timeout", "10"}} {
		flags := flag.NewFlagSet("sidecar", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		clientFlags(flags)
		assert.Assert(t, parseFlags(flags, args) != nil)
	}
}
