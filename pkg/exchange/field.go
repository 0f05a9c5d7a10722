package exchange

import (
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// CheckFieldNames returns an error if the name of a field in header is no token (RFC 9110,
// section 5.1). net/http accepts names with blanks, but does not take "Content-Length " for
// Content-Length, so that such a response may have another body than its sender meant.
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("received a header section with the field name %.40q", name)
		}
	}
	return nil
}

// headReader reads from source and fails if a line of a header section begins with a blank.
// net/http adds such a line to the value of the field before it, as it was once allowed; RFC
// 9112, section 5.2, lets a gateway reject it. It may as well be a field of its own whose name
// is malformed.
type headReader struct {
	source  io.Reader
	scanner overload.HeaderScanner
	// isInHead is set within a header section.
	isInHead bool
	err      error
}

func newHeadReader(source io.Reader) *headReader {
	return &headReader{source: source, scanner: overload.HeaderScanner{RejectLeadingBlank: true}}
}

// beginHead expects a header section, the beginning of which has been read already.
func (h *headReader) beginHead(alreadyRead []byte) error {
	h.scanner.Reset()
	h.isInHead = true
	return h.scan(alreadyRead)
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.source.Read(p)
	if headErr := h.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// scan checks the next bytes up to the end of the header section.
func (h *headReader) scan(data []byte) error {
	if h.isInHead {
		var isComplete bool
		_, isComplete, h.err = h.scanner.Scan(data)
		h.isInHead = !isComplete
	}
	return h.err
}
