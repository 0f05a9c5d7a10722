package exchange

import (
	"errors"
	"net/http"
)

// maxInterimResponses bounds the interim responses before one response. Endpoints send one
// or two; net/http's client accepts five.
const maxInterimResponses = 16

// Errors of responses that are none.
var (
	errNoStatus          = errors.New("received something whose status is none")
	errInterimBody       = errors.New("received an interim response with a body")
	errTooManyInterim    = errors.New("received too many interim responses")
	errUnexpectedInterim = errors.New("received an interim response that was not asked for")
)

// Bounds of statuses of RFC 9110, 15. net/http accepts any three characters that make a
// number of 0 or more.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus reports whether a response is an interim one. It returns an error for what is
// no response: nothing behind it may be read as one.
func checkStatus(response *http.Response) (isInterim bool, err error) {
	switch status := response.StatusCode; {
	case status < minStatus || status > maxStatus:
		return false, errNoStatus
	case status >= http.StatusOK:
		return false, nil
	case status != http.StatusContinue && status != http.StatusProcessing && status != http.StatusEarlyHints:
		return false, errUnexpectedInterim
	case announcesBody(response):
		return false, errInterimBody
	}
	return true, nil
}

// announcesBody reports whether the header section says that a body follows, which
// net/http ignores where the status allows none.
func announcesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) > 0 || length != "" && length != "0"
}

// mayBytesFollow reports whether a response without a body by its status may have one
// behind it. The length of a 304 is that of the response that it stands for.
func mayBytesFollow(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusNoContent:
		return announcesBody(response)
	case http.StatusNotModified:
		return len(response.TransferEncoding) > 0
	}
	return false
}
