// Package sidecar is the node beside an endpoint of a service mesh: it takes
// the requests that begin on its machine, places them, and is the only gate to
// the endpoint beside it. What nodes share lies in the platform's store.
package sidecar

import (
	"net"
	"time"
)

// Settings are what a node is told of its machine and of the terms it runs on.
type Settings struct {
	Instance      string
	FailureDomain string
	Region        string
	// Service is the service of the endpoint beside the node, which the requests
	// that begin here are sent for.
	Service string

	// InboundAddress takes requests of other nodes, Outbound those of clients and of the
	// endpoint, Readiness the platform's question whether the node takes requests,
	// and Control the announcements of the endpoint.
	InboundAddress   string
	OutboundAddress  string
	ReadinessAddress string
	ControlAddress   string
	// MetricsPort serves the node's metrics; 0 serves none.
	MetricsPort int

	StoreAddress string
	// HeartbeatInterval is the usual time between two announcements.
	HeartbeatInterval time.Duration
	// GracePeriod is the time from the signal to stop to the kill.
	GracePeriod time.Duration
	// ConfigurationApplyTimeout is the time within which a stored configuration must be in
	// force.
	ConfigurationApplyTimeout time.Duration

	// RetryBudgetRatio, RetryBudgetWindow and RetryBudgetSlack bound the repeats to a service over
	// all nodes: in each window, RetryBudgetRatio per request plus RetryBudgetSlack.
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration
	RetryBudgetSlack  float64

	Cores       int
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of the machine's own link; 0 if unknown.
	LinkBytesPerSecond float64
}

// onThisMachine reports whether a peer with the given address and port runs on the same
// machine as this node.
func (s Settings) onThisMachine(peer string) bool {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return false
	}
	own, _, err := net.SplitHostPort(s.InboundAddress)
	return err == nil && host == own
}

// HeaderNames are the names of the headers that clients, endpoints and nodes share.
type HeaderNames struct {
	// RequestID identifies one try of a client; endpoints echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// Signature marks an answer as an endpoint's own.
	Signature string
	// ExpectedEndpoint names the endpoint that may run the request.
	ExpectedEndpoint string
	// NotRun marks an answer to a request that the endpoint did not run.
	NotRun string
	// CallerService names the service of the machine where the request began.
	CallerService string
}

// Bounds for deployments whose terms set none. They are those of the users'
// present deployments.
const (
	defaultHeartbeat        = 1500 * time.Millisecond
	defaultGrace            = 6 * time.Second
	defaultConfigurationLag = 2 * time.Second
	defaultRetryRatio       = 0.2
	defaultRetryWindow      = 10 * time.Second
)

// WithDefaults returns the settings with the bounds filled in that are not set.
func (s Settings) WithDefaults() Settings {
	fill := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	fill(&s.HeartbeatInterval, defaultHeartbeat)
	fill(&s.GracePeriod, defaultGrace)
	fill(&s.ConfigurationApplyTimeout, defaultConfigurationLag)
	fill(&s.RetryBudgetWindow, defaultRetryWindow)
	if s.RetryBudgetRatio <= 0 {
		s.RetryBudgetRatio = defaultRetryRatio
	}
	return s
}
