// Package static holds the settings of one azurespring-node process, taken from
// flags and environment variables when it starts.
package static

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Settings are the checked settings of a node. Paths of TLS files are checked
// to hold usable content at start; the files are read again when they change.
type Settings struct {
	Instance      string
	Region        string
	FailureDomain string

	// CallerListenAddress takes callers' HTTP calls.
	CallerListenAddress string
	// TargetListenAddress takes announcements and nested calls from targets of this instance.
	TargetListenAddress string
	// NodeListenAddress takes QUIC connections of other nodes on UDPProxy.
	NodeListenAddress string
	// NodeAdvertiseAddress and AdminAdvertiseAddress are the addresses that other nodes and
	// operators use. Port 0 stands for the port that was bound.
	NodeAdvertiseAddress  string
	AdminListenAddress    string
	AdminAdvertiseAddress string
	// Seeds are node addresses for first contact.
	Seeds []string

	Platform PlatformSettings

	// TLS is used between nodes.
	TLS TLSFiles
	// CallerTLS is zero if callers connect in cleartext.
	CallerTLS TLSFiles

	// AdminTokenFile holds the bearer token of the administration API, empty if
	// the API needs none.
	AdminTokenFile string
	LogLevel       logrus.Level
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration

	// UnknownVariables are names in the environment that begin with EnvPrefix and
	// belong to no flag, such as misspelt ones. They are worth a warning, but no
	// fault, because other programs of azurespring have variables of their own.
	UnknownVariables []string
}

// PlatformSettings says how to reach the platform's object service and how much of it
// this node may use.
type PlatformSettings struct {
	URL string
	// Region is the region that the platform runs in.
	Region string
	// TokenFile and CAFile may be empty.
	TokenFile string
	CAFile    string
	// WritesPerSecond and ReadsPerSecond are rates of token buckets; Watches is
	// the number of watches open at once.
	WritesPerSecond float64
	ReadsPerSecond  float64
	MaxWatches      int
}

// TLSFiles are paths of CertificatePEM files. CA is empty where no peers are verified.
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

// Default and largest budgets of platform calls. The budget bounds one faulty
// node; the fleet stays far below it.
const (
	defaultWritesPerSecond = "5"
	defaultReadsPerSecond  = "10"
	defaultWatches         = "2"
	maxCallsPerSecond      = 1000
	maxWatches             = 100
)

// Default and bounds of the drain timeout. The longest deadline of a route is 10m.
const (
	defaultDrainTimeout = "30s"
	minDrainTimeout     = time.Second
	maxDrainTimeout     = 15 * time.Minute
)

// ErrInfoPrinted is returned by Load after it printed what the arguments asked for
// instead of settings to run with.
var ErrInfoPrinted = errors.New("printed the requested text")
