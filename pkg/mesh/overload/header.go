package overload

import "errors"

// Errors of header sections.
var (
	ErrHeaderTooLarge = errors.New("the header section is too large")
	ErrTooManyFields  = errors.New("the header section has too many fields")
	ErrLeadingBlank   = errors.New("a line of the header section begins with a blank")
)

// HeaderScanner finds the end of a header section in bytes that arrive in pieces. Until a
// section is complete it is kept as it arrived: decoded, many short fields take some twenty
// times as much.
type HeaderScanner struct {
	// MaxBytes and MaxFields bound a header section; 0 means no bound.
	MaxBytes, MaxFields int
	// RejectLeadingBlank rejects lines that begin with a blank.
	RejectLeadingBlank bool

	bytes, lines int
	// lineBytes is the size of the last line so far without carriage returns.
	lineBytes int
}

// Reset prepares the scanner for the next header section.
func (s *HeaderScanner) Reset() { s.bytes, s.lines, s.lineBytes = 0, 0, 0 }

// Bytes returns the size of the section so far.
func (s *HeaderScanner) Bytes() int { return s.bytes }

// Fields returns the number of fields so far. The first line is none.
func (s *HeaderScanner) Fields() int { return max(s.lines-1, 0) }

// Scan takes the next bytes. It returns the number of bytes that belong to the section, and
// whether its end is among them.
func (s *HeaderScanner) Scan(p []byte) (n int, isComplete bool, err error) {
	for i, b := range p {
		s.bytes++
		if s.MaxBytes > 0 && s.bytes > s.MaxBytes {
			return i, false, ErrHeaderTooLarge
		}
		switch b {
		case '\n':
			if s.lineBytes == 0 {
				return i + 1, true, nil
			}
			s.lineBytes = 0
			if s.lines++; s.MaxFields > 0 && s.lines > s.MaxFields+1 {
				return i + 1, false, ErrTooManyFields
			}
		case '\r':
		default:
			if s.RejectLeadingBlank && s.lineBytes == 0 && (b == ' ' || b == '\t') {
				return i, false, ErrLeadingBlank
			}
			s.lineBytes++
		}
	}
	return len(p), false, nil
}

// Cost of a request in memory while it runs, beyond its body: goroutines, buffers and the
// copies of its header section on the way to an endpoint.
const (
	requestBaseBytes = 4 << 10
	bytesPerField    = 256
)

// RequestBytes returns the memory that a request with a header section of the given size and
// number of fields takes while it runs.
func RequestBytes(headerBytes, fields int) int64 {
	return requestBaseBytes + 2*int64(headerBytes) + bytesPerField*int64(fields)
}
