package proxy

import (
	"fmt"
	"net/url"
	"testing"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A status that is none must not be passed on to the client; the request may have run.
func TestResponseWithoutStatusIsNotPassedOn(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for entryIndex := range 2 {
		for _, status := range []string{"600", "999"} {
			r := f.nodes[entryIndex].send("POST", "/pay", nil, testtarget.HeaderStatus, status)
			checkProblem(t, r, verdict.TargetFailed, verdict.MayHaveRun)
		}
	}
}

// What follows the header section of a response without a status must not be taken for a
// response either, whatever length it states.
func TestBodyOfResponseWithoutStatusIsNotPassedOn(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	const body = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	for _, n := range f.nodes {
		for _, status := range []string{"000", "020", "099", "600", "999", "0000", "+20", "abc"} {
			for _, fields := range []string{"", "Content-Length: 0\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body))} {
				raw := url.QueryEscape("HTTP/1.1 " + status + " None\r\n" + fields + "\r\n" + body)
				r := n.send("POST", "/pay", nil, testtarget.HeaderRaw, raw)
				checkProblem(t, r, verdict.TargetFailed, verdict.MayHaveRun)
			}
		}
	}
}
