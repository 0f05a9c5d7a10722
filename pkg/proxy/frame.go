package proxy

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/transport"
)

// frameType is the first byte of a frame. It is followed by the length of the
// payload as 4 bytes, big endian, and the payload.
type frameType uint8

// The frames of a call stream. Each side sends one head, any number of body
// frames and one end frame. The answering side may send a failure in place of
// anything that is still due; nothing follows it.
const (
	frameCall frameType = iota + 1
	frameAnswer
	frameBody
	frameEnd
	frameFailure
)

const framePrefixBytes = 5

// readBufferBytes holds a typical head, so that it takes one read.
const readBufferBytes = 4 << 10

var (
	errBadFrame = eris.New("malformed frame")
	errCut      = eris.New("stream ended without an end frame")
	errLength   = eris.New("total length of the end frame differs from the bytes received")
)

// end is the payload of an end frame.
type end struct {
	// Total is the length of the whole body in bytes.
	Total    int64    `cbor:"1,keyasint"`
	Trailers []string `cbor:"2,keyasint,omitempty"`
}

func (t frameType) limit() int {
	if t == frameBody {
		return transport.MaxCallFrameBytes
	}
	return transport.MaxCallHeaderBytes
}

var encoding, decoding = func() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 256}.DecMode()
	if err != nil {
		panic(err)
	}
	return encode, decode
}()

// frameReader reads frames of one stream.
type frameReader struct {
	in *bufio.Reader
	// payload is reused for each head.
	payload []byte
	// left is what remains of the current body frame.
	left  int
	total int64
}

var readers = sync.Pool{New: func() any {
	return &frameReader{in: bufio.NewReaderSize(nil, readBufferBytes)}
}}

func newFrameReader(in io.Reader) *frameReader {
	r := readers.Get().(*frameReader)
	r.in.Reset(in)
	r.left, r.total = 0, 0
	return r
}

func (r *frameReader) release() {
	r.in.Reset(nil)
	readers.Put(r)
}

// next reads the prefix of the next frame. A clean end of the stream is a cut,
// because every stream ends with an end or failure frame.
func (r *frameReader) next() (frameType, int, error) {
	prefix, err := r.in.Peek(framePrefixBytes)
	if err != nil {
		if err == io.EOF {
			err = errCut
		}
		return 0, 0, err
	}
	kind, length := frameType(prefix[0]), int(binary.BigEndian.Uint32(prefix[1:]))
	if kind < frameCall || kind > frameFailure || length > kind.limit() {
		return 0, 0, errBadFrame
	}
	_, err = r.in.Discard(framePrefixBytes)
	return kind, length, err
}

// decode reads a payload of n bytes into value.
func (r *frameReader) decode(n int, value any) error {
	if cap(r.payload) < n {
		r.payload = make([]byte, n, max(n, readBufferBytes))
	}
	r.payload = r.payload[:n]
	if _, err := io.ReadFull(r.in, r.payload); err != nil {
		return cutIfEOF(err)
	}
	if err := decoding.Unmarshal(r.payload, value); err != nil {
		return eris.Wrap(errBadFrame, err.Error())
	}
	return nil
}

// head reads a frame that must be of the given type.
func (r *frameReader) head(want frameType, value any) error {
	kind, n, err := r.next()
	if err != nil {
		return err
	}
	if kind != want {
		return errBadFrame
	}
	return r.decode(n, value)
}

// body reads from the body frames. At the end frame it checks the total, stores
// the trailers and returns io.EOF. Any other end is an error.
func (r *frameReader) body(p []byte, finish *end) (int, error) {
	for r.left == 0 {
		kind, n, err := r.next()
		if err != nil {
			return 0, err
		}
		switch kind {
		case frameBody:
			r.left = n
		case frameEnd:
			if err := r.decode(n, finish); err != nil {
				return 0, err
			}
			if finish.Total != r.total {
				return 0, errLength
			}
			return 0, io.EOF
		case frameFailure:
			var f failure
			if err := r.decode(n, &f); err != nil {
				return 0, err
			}
			return 0, f.err()
		default:
			return 0, errBadFrame
		}
	}
	n, err := r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.total += int64(n)
	return n, cutIfEOF(err)
}

func cutIfEOF(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errCut
	}
	return err
}

// frameBuffer collects frames, so that a short message is sent by one write.
type frameBuffer struct{ data []byte }

// frameBufferBytes holds a full body frame with its head and end.
const frameBufferBytes = transport.MaxCallFrameBytes + readBufferBytes

var buffers = sync.Pool{New: func() any { return &frameBuffer{data: make([]byte, 0, frameBufferBytes)} }}

func newFrameBuffer() *frameBuffer { return buffers.Get().(*frameBuffer) }

func (b *frameBuffer) release() {
	if cap(b.data) > 4*frameBufferBytes {
		return
	}
	b.data = b.data[:0]
	buffers.Put(b)
}

// Write implements io.Writer for the encoder.
func (b *frameBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

// encode appends a frame with a CBOR payload.
func (b *frameBuffer) encode(kind frameType, value any) error {
	start := len(b.data)
	b.data = append(b.data, byte(kind), 0, 0, 0, 0)
	if err := encoding.NewEncoder(b).Encode(value); err != nil {
		b.data = b.data[:start]
		return eris.Wrap(err, "encode frame")
	}
	n := len(b.data) - start - framePrefixBytes
	if n > kind.limit() {
		b.data = b.data[:start]
		return eris.Errorf("head of %d bytes exceeds %d", n, kind.limit())
	}
	binary.BigEndian.PutUint32(b.data[start+1:], uint32(n))
	return nil
}

// body appends p as body frames.
func (b *frameBuffer) body(p []byte) {
	for len(p) > 0 {
		n := min(len(p), transport.MaxCallFrameBytes)
		b.data = append(b.data, byte(frameBody), 0, 0, 0, 0)
		binary.BigEndian.PutUint32(b.data[len(b.data)-4:], uint32(n))
		b.data = append(b.data, p[:n]...)
		p = p[n:]
	}
}

// flush writes what was collected.
func (b *frameBuffer) flush(out io.Writer) error {
	if len(b.data) == 0 {
		return nil
	}
	_, err := out.Write(b.data)
	b.data = b.data[:0]
	return err
}
