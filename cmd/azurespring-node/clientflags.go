package main

import (
	"flag"

	"github.com/peterbourgon/ff/v3"

	"github.com/azurespring/azurespring/pkg/sidecar"
)

// clientFlags registers a flag for each limit on clients; 0 means the default of the
// instance. Each has an environment variable: AZURESPRING_ and the flag's name in capitals.
func clientFlags(flags *flag.FlagSet) *sidecar.ClientLimits {
	c := &sidecar.ClientLimits{}
	flags.Int64Var(&c.MemoryBytes, "client-memory", 0, "bytes that clients may hold together (default a quarter of the instance's memory)")
	flags.IntVar(&c.OutboundDescriptors, "client-outbound-descriptors", 0, "connections and running requests of the outbound listener (default 70% of the descriptors that are not for files)")
	flags.IntVar(&c.InboundDescriptors, "client-inbound-descriptors", 0, "connections of the inbound listener, half of them for other nodes only (default 12%)")
	flags.IntVar(&c.LocalDescriptors, "client-local-descriptors", 0, "connections of the readiness, the control and the metrics listener each (default 2%, at least 8)")
	flags.IntVar(&c.HeaderBytes, "client-header-bytes", 0, "size of a header section (default 65536, which is also the maximum)")
	flags.IntVar(&c.HeaderFields, "client-header-fields", 0, "fields of a header section (default 4096)")
	flags.DurationVar(&c.HeaderTimeout, "client-header-timeout", 0, "time in which a header section arrives (default 10s)")
	flags.IntVar(&c.PipelinedRequests, "client-pipelined-requests", 0, "requests of one connection at the same time (default 16)")
	flags.DurationVar(&c.WriteStall, "client-write-stall", 0, "time in which a client takes 16 KB of a response (default 10s)")
	flags.DurationVar(&c.SlowAfter, "client-slow-after", 0, "time after which a slow client may be ended while memory or descriptors are short (default 1s)")
	flags.Float64Var(&c.MinBytesPerSecond, "client-min-bytes-per-second", 0, "rate below which a client is slow (default 4096)")
	return c
}

// envPrefix is the prefix of the environment variables that stand for flags.
const envPrefix = "AZURESPRING"

// parseFlags parses the arguments and, for flags that they don't set, the environment.
func parseFlags(flags *flag.FlagSet, args []string) error {
	return ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix))
}
