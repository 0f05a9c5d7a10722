package static

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/google/uuid"
)

// ProgramName is the name of the program that these settings belong to.
const ProgramName = "azurespring-node"

// BuildVersion returns the version of the running program.
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// Load reads the settings from args and env and checks all of them. Bad values
// are returned together as Faults, bad usage as another error, and ErrInfoPrinted
// or flag.ErrHelp if text was printed to output instead.
func Load(args, env []string, output io.Writer) (Settings, error) {
	l := &loader{flags: flag.NewFlagSet(ProgramName, flag.ContinueOnError)}
	l.flags.SetOutput(output)
	l.flags.Usage = func() { usage(l.flags) }
	s := &Settings{}
	printConfig := l.flags.Bool("print-config", false, "print the settings in force and exit")
	version := l.flags.Bool("version", false, "print the version and exit")
	l.define(s)
	if err := ParseFlags(l.flags, args, env); err != nil {
		return Settings{}, err
	}
	if *version {
		fmt.Fprintln(output, ProgramName, BuildVersion())
		return Settings{}, ErrInfoPrinted
	}
	if l.flags.NArg() > 0 {
		l.faults = append(l.faults, fmt.Sprintf("unexpected arguments %q", l.flags.Args()))
	}
	l.check()
	l.derive(s)
	if *printConfig {
		l.print(output)
		if len(l.faults) == 0 {
			return Settings{}, ErrInfoPrinted
		}
	}
	if len(l.faults) > 0 {
		return Settings{}, l.faults
	}
	s.UnknownVariables = unknownVariables(l.flags, env)
	return *s, nil
}

func usage(flags *flag.FlagSet) {
	fmt.Fprintf(flags.Output(), `%s runs beside each target of the mesh.

Every flag can be set by an environment variable: -node-listen is %s.
Flags win over environment variables.

Flags:
`, ProgramName, EnvVarName("node-listen"))
	flags.PrintDefaults()
}

// define declares all settings with their defaults and checks.
func (l *loader) define(s *Settings) {
	l.add("instance", defaultInstance(), "`name` of this instance; by default the host's name and a random suffix", name(&s.Instance))
	l.add("region", "", "`name` of the region of this instance (required)", name(&s.Region))
	l.add("failure-domain", "", "`name` of the failure domain of this instance (required)", name(&s.FailureDomain))
	l.add("caller-listen", defaultCallerListen, "TCP `address` for callers", listen(&s.CallerListenAddress))
	l.add("target-listen", defaultTargetListen, "TCP loopback `address` for announcements and nested calls of targets", loopback(&s.TargetListenAddress))
	l.add("node-listen", defaultNodeListen, "UDP `address` for other nodes", listen(&s.NodeListenAddress))
	l.add("node-advertise", "", "`IP:port` at which other nodes reach this one; by default -node-listen", advertise(&s.NodeAdvertiseAddress))
	l.add("admin-listen", defaultAdminListen, "TCP `address` of the administration API", listen(&s.AdminListenAddress))
	l.add("admin-advertise", "", "`IP:port` at which operators reach the administration API; by default the IP of -node-advertise and the port of -admin-listen", advertise(&s.AdminAdvertiseAddress))
	l.add("admin-token-file", "", "`file` with the bearer token of the administration API; by default it needs none", optional(token(&s.AdminTokenFile)))
	l.add("seeds", "", "`IP:port,...` of nodes for first contact", seeds(&s.Seeds))
	l.definePlatform(&s.Platform)
	l.add("tls-cert", "", "PEM `file` with the certificate for other nodes (required)", readable(&s.TLS.CertFile))
	l.add("tls-key", "", "PEM `file` with the key of -tls-cert (required)", readable(&s.TLS.KeyFile))
	l.add("tls-ca", "", "PEM `file` with the authorities of other nodes' certificates (required)", authorities(&s.TLS.CAFile))
	l.add("caller-tls-cert", "", "PEM `file` with the certificate for callers; by default callers use cleartext", optional(readable(&s.CallerTLS.CertFile)))
	l.add("caller-tls-key", "", "PEM `file` with the key of -caller-tls-cert", optional(readable(&s.CallerTLS.KeyFile)))
	l.add("log-level", "info", "lowest `level` of log lines: error, warn, info or debug", level(&s.LogLevel))
	l.add("drain-timeout", defaultDrainTimeout, "longest `duration` of a graceful shutdown", duration(&s.DrainTimeout, minDrainTimeout, maxDrainTimeout))
}

func (l *loader) definePlatform(p *PlatformSettings) {
	l.add("platform-url", "", "`URL` of the platform's object service (required)", serviceURL(&p.URL))
	l.add("platform-region", "", "`name` of the region that the platform runs in (required)", name(&p.Region))
	l.add("platform-token-file", "", "`file` with the bearer token for the platform; by default none is sent", optional(token(&p.TokenFile)))
	l.add("platform-ca", "", "PEM `file` with the authorities of the platform's certificate; by default those of the host", optional(authorities(&p.CAFile)))
	l.add("platform-writes", defaultWritesPerSecond, "`number` of platform writes per second that this node may send", rate(&p.WritesPerSecond))
	l.add("platform-reads", defaultReadsPerSecond, "`number` of platform reads per second that this node may send", rate(&p.ReadsPerSecond))
	l.add("platform-watches", defaultWatches, "`number` of platform watches that this node may hold open", integer(&p.MaxWatches, 1, maxWatches))
}

// suffixLength is the number of random digits in a default instance name.
const suffixLength = 8

func defaultInstance() string {
	host, err := os.Hostname()
	if err != nil || !namePattern.MatchString(host) {
		host = "instance"
	}
	return host + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:suffixLength]
}
