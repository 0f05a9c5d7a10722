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

// Load reads the settings from args and env and validates all of them. Invalid
// values are returned together as Faults, arguments that cannot be parsed as
// another error. If args asked for information, Load prints it to output and
// returns ErrInfoPrinted or flag.ErrHelp.
func Load(args, env []string, output io.Writer) (Settings, error) {
	l := &loader{flags: flag.NewFlagSet(ProgramName, flag.ContinueOnError)}
	l.flags.SetOutput(output)
	l.flags.Usage = func() { printUsage(l.flags) }
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
	l.parseSettings()
	l.resolveDependent(s)
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

func printUsage(flags *flag.FlagSet) {
	fmt.Fprintf(flags.Output(), `%s runs beside each target of the mesh.

Every flag can be set by an environment variable: -node-listen is %s.
Flags win over environment variables.

Flags:
`, ProgramName, EnvVarName("node-listen"))
	flags.PrintDefaults()
}

// define declares all settings with their defaults and parsers.
func (l *loader) define(s *Settings) {
	l.add("instance", defaultInstance(), "`name` of this instance; by default the host's name and a random suffix", nameParser(&s.Instance))
	l.add("region", "", "`name` of the region of this instance (required)", nameParser(&s.Region))
	l.add("failure-domain", "", "`name` of the failure domain of this instance (required)", nameParser(&s.FailureDomain))
	l.add("caller-listen", defaultCallerListen, "TCP `address` for callers", listenAddressParser(&s.CallerListenAddress))
	l.add("target-listen", defaultTargetListen, "TCP loopback `address` for announcements and nested calls of targets", loopbackAddressParser(&s.TargetListenAddress))
	l.add("node-listen", defaultNodeListen, "UDP `address` for other nodes", listenAddressParser(&s.NodeListenAddress))
	l.add("node-advertise", "", "`IP:port` at which other nodes reach this one; by default -node-listen", advertiseAddressParser(&s.NodeAdvertiseAddress))
	l.add("admin-listen", defaultAdminListen, "TCP `address` of the administration API", listenAddressParser(&s.AdminListenAddress))
	l.add("admin-advertise", "", "`IP:port` at which operators reach the administration API; by default the IP of -node-advertise and the port of -admin-listen", advertiseAddressParser(&s.AdminAdvertiseAddress))
	l.add("admin-token-file", "", "`file` with the bearer token of the administration API; by default it needs none", optionalParser(tokenFileParser(&s.AdminTokenFile)))
	l.add("seeds", "", "`IP:port,...` of nodes for first contact", seedsParser(&s.Seeds))
	l.definePlatform(&s.Platform)
	l.add("tls-cert", "", "PEM `file` with the certificate for other nodes (required)", readableFileParser(&s.TLS.CertFile))
	l.add("tls-key", "", "PEM `file` with the key of -tls-cert (required)", readableFileParser(&s.TLS.KeyFile))
	l.add("tls-ca", "", "PEM `file` with the authorities of other nodes' certificates (required)", caFileParser(&s.TLS.CAFile))
	l.add("caller-tls-cert", "", "PEM `file` with the certificate for callers; by default callers use cleartext", optionalParser(readableFileParser(&s.CallerTLS.CertFile)))
	l.add("caller-tls-key", "", "PEM `file` with the key of -caller-tls-cert", optionalParser(readableFileParser(&s.CallerTLS.KeyFile)))
	l.add("log-level", "info", "lowest `level` of log lines: error, warn, info or debug", logLevelParser(&s.LogLevel))
	l.add("drain-timeout", defaultDrainTimeout, "longest `duration` of a graceful shutdown", durationParser(&s.DrainTimeout, minDrainTimeout, maxDrainTimeout))
}

func (l *loader) definePlatform(p *PlatformSettings) {
	l.add("platform-url", "", "`URL` of the platform's object service (required)", serviceURLParser(&p.URL))
	l.add("platform-region", "", "`name` of the region that the platform runs in (required)", nameParser(&p.Region))
	l.add("platform-token-file", "", "`file` with the bearer token for the platform; by default none is sent", optionalParser(tokenFileParser(&p.TokenFile)))
	l.add("platform-ca", "", "PEM `file` with the authorities of the platform's certificate; by default those of the host", optionalParser(caFileParser(&p.CAFile)))
	l.add("platform-writes", defaultWritesPerSecond, "`number` of platform writes per second that this node may send", rateParser(&p.WritesPerSecond))
	l.add("platform-reads", defaultReadsPerSecond, "`number` of platform reads per second that this node may send", rateParser(&p.ReadsPerSecond))
	l.add("platform-watches", defaultWatches, "`number` of platform watches that this node may hold open", integerParser(&p.MaxWatches, 1, maxWatches))
}

// suffixDigits is the number of random hexadecimal digits in a default instance name.
const suffixDigits = 8

// defaultInstance returns the host's name with a random suffix, so that two
// processes on one host get different names.
func defaultInstance() string {
	host, err := os.Hostname()
	if err != nil || !namePattern.MatchString(host) {
		host = "instance"
	}
	return host + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:suffixDigits]
}
