package exchange

import "io"

// LimitedReader reads from Source and fails with Err once RemainingBytes have been read.
// Unlike the end of an io.LimitedReader, Err differs from that of a connection that was
// closed.
type LimitedReader struct {
	Source         io.Reader
	RemainingBytes int64
	Err            error
}

// Read implements io.Reader.
func (l *LimitedReader) Read(p []byte) (int, error) {
	if l.RemainingBytes <= 0 {
		return 0, l.Err
	}
	n, err := l.Source.Read(p[:min(int64(len(p)), l.RemainingBytes)])
	l.RemainingBytes -= int64(n)
	return n, err
}
