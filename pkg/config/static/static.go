// Package static holds the settings of one azurespring-node process, taken from
// flags and environment variables when it starts.
package static

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Settings are the validated settings of a node. TLS files are checked for usable
// content at start and read again when they change.
type Settings struct {
	Instance      string
	Region        string
	FailureDomain string

	// CallerListenAddress accepts HTTP calls from callers.
	CallerListenAddress string
	// TargetListenAddress accepts announcements and nested calls from targets on
	// this instance.
	TargetListenAddress string
	// NodeListenAddress accepts QUIC connections from other nodes over UDP.
	NodeListenAddress string
	// NodeAdvertiseAddress is the address that other nodes connect to, and
	// AdminAdvertiseAddress the one that operators use. Port 0 stands for the port
	// that was bound.
	NodeAdvertiseAddress  string
	AdminListenAddress    string
	AdminAdvertiseAddress string
	// Seeds are addresses of nodes through which this node joins the cluster.
	Seeds []string

	Platform PlatformSettings

	// TLS secures connections between nodes.
	TLS TLSFiles
	// CallerTLS is zero if callers connect in cleartext.
	CallerTLS TLSFiles

	// AdminTokenFile holds the bearer token of the administration API, empty if
	// the API needs none.
	AdminTokenFile string
	LogLevel       logrus.Level
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout time.Duration

	// UnknownVariables are names of environment variables that begin with EnvPrefix
	// and belong to no flag, such as misspelt ones. They cause a warning and no
	// error, because other azurespring programs have variables of their own.
	UnknownVariables []string
}

// PlatformSettings are the address and credentials of the platform's object
// service and the limits on this node's calls to it.
type PlatformSettings struct {
	URL string
	// Region is the region that the platform runs in.
	Region string
	// TokenFile holds the bearer token and CAFile the certificate authorities of
	// the platform. Both may be empty.
	TokenFile string
	CAFile    string
	// WritesPerSecond and ReadsPerSecond are rates of token buckets; MaxWatches
	// bounds the number of watches open at once.
	WritesPerSecond float64
	ReadsPerSecond  float64
	MaxWatches      int
}

// TLSFiles are paths of PEM files. CAFile is empty where peer certificates are
// not verified.
type TLSFiles struct {
	CertFile, KeyFile, CAFile string
}

// Enabled reports whether a certificate is set.
func (f TLSFiles) Enabled() bool { return f.CertFile != "" }

// EnvPrefix begins the names of all environment variables.
const EnvPrefix = "AZURESPRING_"

// Default addresses of a node.
const (
	defaultCallerListen = ":7400"
	defaultTargetListen = "127.0.0.1:7401"
	defaultNodeListen   = ":7402"
	defaultAdminListen  = ":7403"
)

// Defaults and upper bounds of the limits on platform calls. The limits contain
// a single faulty node; in normal operation all nodes stay far below them.
const (
	defaultWritesPerSecond = "5"
	defaultReadsPerSecond  = "10"
	defaultWatches         = "2"
	maxCallsPerSecond      = 1000
	maxWatches             = 100
)

// Default and bounds of the drain timeout. The upper bound exceeds the longest
// deadline of a route, which is 10 minutes.
const (
	defaultDrainTimeout = "30s"
	minDrainTimeout     = time.Second
	maxDrainTimeout     = 15 * time.Minute
)

// ErrInfoPrinted is returned by Load, without settings, after it printed the
// information that the arguments asked for.
var ErrInfoPrinted = errors.New("printed the requested text")
