package mesh

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests: those with the same caller, host, method, path
// and body. "" is that of a request from a node that does not send any.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request with the given parts. bodyBytes is the
// length of its body, -1 if it is not known.
func FingerprintOf(caller, host, method, uri string, bodyBytes int64, bodyStart []byte) Fingerprint {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range [...]string{caller, host, method, uri} {
		_, _ = hash.WriteString(part) // Never fails.
		_, _ = hash.Write([]byte{0})
	}
	var digits [20]byte
	_, _ = hash.Write(strconv.AppendInt(digits[:0], bodyBytes, 10))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(bodyStart)
	return Fingerprint(strconv.FormatUint(hash.Sum64(), 16))
}

// Crash is the end of an endpoint process that neither drained nor deregistered, while it
// was running requests.
type Crash struct {
	EndpointID  string `json:"id"`
	StartUnixMs int64  `json:"born"`
	Service     string `json:"service"`
	// AtUnixMs is the time of the crash in Unix milliseconds.
	AtUnixMs int64     `json:"at"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// Suspect is a request that an endpoint process was running when it ended. Most suspects
// are sound.
type Suspect struct {
	Request Fingerprint `json:"request"`
	// BeganUnixMs is when the request was sent to the endpoint, in Unix milliseconds.
	BeganUnixMs int64 `json:"began"`
	// IsTrial is set if the request was quarantined and ran as a trial.
	IsTrial bool `json:"trial,omitempty"`
}

// Acquittal says that an endpoint has run a suspect request to its end.
type Acquittal struct {
	Request Fingerprint `json:"request"`
	// AtUnixMs is the time of the acquittal in Unix milliseconds. It holds for the crashes
	// until then.
	AtUnixMs int64 `json:"at"`
}

// Bounds of the crashes that an entry holds.
const (
	MaxCrashes    = 8
	MaxSuspects   = 64
	MaxAcquittals = 32
)

// limitCrashes drops what an entry with too many crashes, suspects or acquittals holds
// beyond the bounds. Another writer may have stored it; its endpoints can be used.
func (i *Instance) limitCrashes() {
	i.Crashes = i.Crashes[max(0, len(i.Crashes)-MaxCrashes):]
	for n := range i.Crashes {
		c := &i.Crashes[n]
		c.Suspects = c.Suspects[:min(len(c.Suspects), MaxSuspects)]
	}
	i.Acquittals = i.Acquittals[max(0, len(i.Acquittals)-MaxAcquittals):]
}

// equal reports whether two crashes are the same with the same suspects.
func (c Crash) equal(other Crash) bool {
	return c.EndpointID == other.EndpointID && c.StartUnixMs == other.StartUnixMs && c.Service == other.Service &&
		c.AtUnixMs == other.AtUnixMs && slices.Equal(c.Suspects, other.Suspects)
}

// SameCrashes reports whether two entries hold the same crashes and acquittals.
func SameCrashes(a, b Instance) bool {
	return slices.EqualFunc(a.Crashes, b.Crashes, Crash.equal) && slices.Equal(a.Acquittals, b.Acquittals)
}
