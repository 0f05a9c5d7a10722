package quota

import "time"

// MaxTenants bounds the tenants of one message.
const MaxTenants = 4096

// Request is what a holder sends to a granter: the shares that it holds and its demand.
type Request struct {
	Slot   int    `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	// Incarnation is the start of the holder's process; a later process has a higher one.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence orders the requests of one process. After sending a request, a holder
	// accepts the response to no earlier one.
	Sequence uint64 `cbor:"4,keyasint"`
	// Term is the highest term of the slot that the holder has seen.
	Term    uint64  `cbor:"5,keyasint"`
	Tenants []Usage `cbor:"6,keyasint,omitempty"`
}

// Usage is the use of one tenant's limit at a holder.
type Usage struct {
	Tenant string `cbor:"1,keyasint"`
	// Share is the fraction of the limit that the holder uses until its lease ends.
	Share float64 `cbor:"2,keyasint,omitempty"`
	// Demand is the number of requests per second, with those that were refused.
	Demand float64 `cbor:"3,keyasint,omitempty"`
	// Want is the number of tokens that can be used at once.
	Want int `cbor:"4,keyasint,omitempty"`
}

// Status is the kind of a response.
type Status uint8

// The kinds of responses. Any other status than StatusGranted grants nothing.
const (
	// StatusGranted is the response of a granter.
	StatusGranted Status = iota + 1
	// StatusRedirect names another node that is the granter.
	StatusRedirect
	// StatusRetry asks to send the request again, to the same node.
	StatusRetry
	// StatusIgnored is the response to a request that is older than another one.
	StatusIgnored
	// StatusStopping is the response of a node that stops; another node is to be asked.
	StatusStopping
)

// Response is the response to a request.
type Response struct {
	Slot     int    `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Status   Status `cbor:"3,keyasint"`
	Term     uint64 `cbor:"4,keyasint,omitempty"`
	// Granter is the node that grants, if it is known.
	Granter string `cbor:"5,keyasint,omitempty"`
	// RetryMs is the time in milliseconds after which the request may be sent again, or,
	// with StatusGranted, after which the shares are to be renewed.
	RetryMs int64   `cbor:"6,keyasint,omitempty"`
	Grants  []Grant `cbor:"7,keyasint,omitempty"`
}

// Grant is a granter's decision for one tenant.
type Grant struct {
	Tenant string  `cbor:"1,keyasint"`
	Share  float64 `cbor:"2,keyasint,omitempty"`
	// Tokens may be used within the token life of the tenant's limit.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// WaitMs is the time in milliseconds until the granter expects more tokens; 0 if it
	// gave all that were wanted.
	WaitMs int64 `cbor:"4,keyasint,omitempty"`
	// TokenMs is the time in milliseconds until the granter has another token for anybody, 0
	// if it does not know.
	TokenMs int64 `cbor:"5,keyasint,omitempty"`
}

// Announcement tells a holder of a new granter. The holder responds with a Request, which
// says what it holds.
type Announcement struct {
	Slot    int    `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Granter string `cbor:"3,keyasint"`
}

// The states of a term.
const (
	StateHeld = "held"
	// StateReleased means that the granter has ended its term; leases may be in use.
	StateReleased = "released"
	// StateIdle means that the granter has ended its term and that no lease was in use
	// and no request was admitted for a whole window.
	StateIdle = "idle"
)

// Record is the stored term of a slot.
type Record struct {
	Slot        int    `json:"slot"`
	Node        string `json:"node"`
	Term        uint64 `json:"term"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	// Sharing names the tenants of which holders may have shares; of the others, they have
	// at most single tokens.
	Sharing sharing `json:"sharing,omitzero"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitempty"`
}

// StoreVerb is the kind of a call of the store.
type StoreVerb uint8

// The calls of the store that a granter requests.
const (
	StoreGet StoreVerb = iota + 1
	StoreCreate
	StoreUpdate
)

// StoreCall is a call of the store that a granter requests. StoreUpdate is conditional on
// Version.
type StoreCall struct {
	Verb    StoreVerb
	Slot    int
	Record  Record
	Version string
	started time.Duration
	// era is that of the store as far as it was known.
	era uint64
}

// StoreOutcome is the outcome of a call of the store.
type StoreOutcome uint8

// The outcomes. After StoreUnknown, a write may or may not have taken effect.
const (
	StoreOK StoreOutcome = iota + 1
	StoreNotFound
	StoreConflict
	StoreUnknown
)

// StoreResult is the result of a call of the store. Record is that of a StoreGet, Era the era of
// the store in which it responded, 0 if unknown.
type StoreResult struct {
	Outcome StoreOutcome
	Record  Record
	Version string
	Era     uint64
}
