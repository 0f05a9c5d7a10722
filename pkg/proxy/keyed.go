package proxy

import (
	"context"
	"net/http"

	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// maxRecordedBytes is the largest answer that is recorded for a resend.
const maxRecordedBytes = 4 << 10

// maxKeyBytes bounds idempotency keys.
const maxKeyBytes = 256

// recordedAnswer is the answer to a keyed call as the claimer keeps it.
type recordedAnswer struct {
	Status  int      `cbor:"1,keyasint"`
	Version string   `cbor:"2,keyasint"`
	Header  []string `cbor:"3,keyasint"`
	Body    []byte   `cbor:"4,keyasint"`
	tooLong bool
}

func (a *recordedAnswer) start(head *answerHead) {
	if a != nil {
		a.Status, a.Header = head.Status, head.Header
	}
}

func (a *recordedAnswer) write(p []byte) {
	if a == nil || a.tooLong {
		return
	}
	if a.tooLong = len(a.Body)+len(p) > maxRecordedBytes; !a.tooLong {
		a.Body = append(a.Body, p...)
	}
}

// encode returns nil if the answer is not worth recording.
func (a *recordedAnswer) encode() []byte {
	if a.tooLong || a.Status == 0 {
		return nil
	}
	data, err := encoding.Marshal(a)
	if err != nil || len(data) > 2*maxRecordedBytes {
		return nil
	}
	return data
}

// runClaimed runs a call with an idempotency key if no call ran with it before.
func (c *call) runClaimed(key string) *verdict.Error {
	claimer := c.entry.deps.Claimer
	if claimer == nil {
		return verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "this node has no store of idempotency keys")
	}
	if len(key) > maxKeyBytes {
		return verdict.NotRunErrorf(verdict.BadRequest, "%s exceeds %d bytes", headerKey, maxKeyBytes)
	}
	c.keyed = true
	claimed := c.claimKey(key)
	claim, err := claimer.Claim(c.ctx, claimed)
	if err != nil {
		return c.claimFailed(err)
	}
	if !claim.Granted {
		return c.repeat(claim.Response)
	}
	c.recording = &recordedAnswer{}
	failure := c.runTries()
	completion := Completion{NotRun: failure != nil && failure.Verdict == verdict.NotRun}
	if failure == nil {
		c.recording.Version = c.version
		completion.Response = c.recording.encode()
	}
	claimer.Complete(context.WithoutCancel(c.ctx), claimed, completion)
	return failure
}

// claimKey fingerprints the request if its body is known, so that a key that is
// reused for another request is refused.
func (c *call) claimKey(key string) ClaimKey {
	claimed := ClaimKey{Customer: c.customer.Name, Service: c.service.Name, Route: c.route.Name, Key: key}
	if c.body == nil {
		return claimed
	}
	if whole, ok := c.body.whole(); ok {
		hasher := quarantine.NewHasher(c.service.Name, c.route.Name, c.r.Method, c.r.URL.RequestURI())
		_, _ = hasher.Write(whole)
		claimed.Fingerprint = hasher.Sum().String()
	}
	return claimed
}

func (c *call) claimFailed(err error) *verdict.Error {
	if c.ctx.Err() != nil {
		return c.ended(verdict.NotRun)
	}
	if failure := asVerdict(err); failure != nil {
		return failure
	}
	refusal := verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "the idempotency key cannot be claimed now")
	refusal.Cause = err
	return refusal
}

// repeat answers a resend with the recorded answer, or says that the first call
// may have run.
func (c *call) repeat(data []byte) *verdict.Error {
	var recorded recordedAnswer
	if len(data) == 0 || decoding.Unmarshal(data, &recorded) != nil || recorded.Status < http.StatusOK {
		return verdict.MayHaveRunErrorf(verdict.KeyInUse, nil, "a call with this key may have run")
	}
	c.version = recorded.Version
	out := (*callerAnswer)(c)
	head := answerHead{Status: recorded.Status, Header: recorded.Header, ContentLength: int64(len(recorded.Body))}
	err := out.start(&head)
	if err == nil && len(recorded.Body) > 0 {
		err = out.write(recorded.Body, false)
	}
	if err != nil {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the recorded answer was not delivered")
	}
	return nil
}
