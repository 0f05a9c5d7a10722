package proxy

import (
	"context"
	"net/http"

	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// maxRecordedBodyBytes is the maximum size of a response body that is recorded for
// retries by the caller.
const maxRecordedBodyBytes = 4 << 10

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// recordedResponse is the response to a call with an idempotency key, as the claimer
// stores it.
type recordedResponse struct {
	Status    int      `cbor:"1,keyasint"`
	Version   string   `cbor:"2,keyasint"`
	Header    []string `cbor:"3,keyasint"`
	Body      []byte   `cbor:"4,keyasint"`
	isTooLong bool
}

func (r *recordedResponse) start(headerFrame *responseHeaderFrame) {
	if r != nil {
		r.Status, r.Header = headerFrame.Status, headerFrame.Header
	}
}

func (r *recordedResponse) write(p []byte) {
	if r == nil || r.isTooLong {
		return
	}
	if r.isTooLong = len(r.Body)+len(p) > maxRecordedBodyBytes; !r.isTooLong {
		r.Body = append(r.Body, p...)
	}
}

// encode returns the response in CBOR, or nil if there is none or it is too large.
func (r *recordedResponse) encode() []byte {
	if r.isTooLong || r.Status == 0 {
		return nil
	}
	data, err := cborEncoding.Marshal(r)
	if err != nil || len(data) > 2*maxRecordedBodyBytes {
		return nil
	}
	return data
}

// runWithIdempotencyKey claims the idempotency key and runs the call if no earlier
// call holds the key.
func (c *call) runWithIdempotencyKey(idempotencyKey string) *verdict.Error {
	claimer := c.handler.options.Claimer
	if claimer == nil {
		return verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "this node has no store of idempotency keys")
	}
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return verdict.NotRunErrorf(verdict.BadRequest, "%s exceeds %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	c.hasIdempotencyKey = true
	claimKey := c.newClaimKey(idempotencyKey)
	claim, err := claimer.Claim(c.ctx, claimKey)
	if err != nil {
		return c.claimError(err)
	}
	if !claim.Granted {
		return c.replayResponse(claim.Response)
	}
	c.recording = &recordedResponse{}
	failure := c.runAttempts()
	completion := Completion{NotRun: failure != nil && failure.Verdict == verdict.NotRun}
	if failure == nil {
		c.recording.Version = c.version
		completion.Response = c.recording.encode()
	}
	claimer.Complete(context.WithoutCancel(c.ctx), claimKey, completion)
	return failure
}

// newClaimKey includes the request's fingerprint if the body is complete, so that a
// key that is reused for another request is rejected.
func (c *call) newClaimKey(idempotencyKey string) ClaimKey {
	claimKey := ClaimKey{Customer: c.customer.Name, Service: c.service.Name, Route: c.route.Name, Key: idempotencyKey}
	if c.body == nil {
		return claimKey
	}
	if body, ok := c.body.complete(); ok {
		hasher := quarantine.NewHasher(c.service.Name, c.route.Name, c.r.Method, c.r.URL.RequestURI())
		_, _ = hasher.Write(body)
		claimKey.Fingerprint = hasher.Sum().String()
	}
	return claimKey
}

func (c *call) claimError(err error) *verdict.Error {
	if c.ctx.Err() != nil {
		return c.contextError(verdict.NotRun)
	}
	if failure := asVerdictError(err); failure != nil {
		return failure
	}
	rejection := verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "the idempotency key cannot be claimed now")
	rejection.Cause = err
	return rejection
}

// replayResponse sends the recorded response to a caller that retries a call. If none
// was recorded, it returns the error that the first call may have run.
func (c *call) replayResponse(data []byte) *verdict.Error {
	var recorded recordedResponse
	if len(data) == 0 || cborDecoding.Unmarshal(data, &recorded) != nil || recorded.Status < http.StatusOK {
		return verdict.MayHaveRunErrorf(verdict.KeyInUse, nil, "a call with this key may have run")
	}
	c.version = recorded.Version
	response := (*callerResponse)(c)
	headerFrame := responseHeaderFrame{Status: recorded.Status, Header: recorded.Header, ContentLength: int64(len(recorded.Body))}
	err := response.start(&headerFrame)
	if err == nil && len(recorded.Body) > 0 {
		err = response.write(recorded.Body, false)
	}
	if err != nil {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the recorded answer was not delivered")
	}
	return nil
}
