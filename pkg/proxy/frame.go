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

// The frames of a call stream. Each side sends one header frame, any number of body
// frames and one end frame. The target node may send a failure frame in place of
// all frames that it has not sent yet; nothing follows a failure frame.
const (
	frameCallHeader frameType = iota + 1
	frameResponseHeader
	frameBody
	frameEnd
	frameFailure
)

const framePrefixBytes = 5

// readBufferBytes fits a typical header frame, which then takes one read.
const readBufferBytes = 4 << 10

var (
	errMalformedFrame = eris.New("malformed frame")
	errTruncated      = eris.New("stream ended without an end frame")
	errLengthMismatch = eris.New("total length of the end frame differs from the bytes received")
)

// endFrame is the payload of an end frame.
type endFrame struct {
	// Total is the length of the complete body in bytes.
	Total    int64    `cbor:"1,keyasint"`
	Trailers []string `cbor:"2,keyasint,omitempty"`
}

func (t frameType) maxPayloadBytes() int {
	if t == frameBody {
		return transport.MaxCallFrameBytes
	}
	return transport.MaxCallHeaderBytes
}

var cborEncoding, cborDecoding = func() (cbor.EncMode, cbor.DecMode) {
	encMode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decMode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 256}.DecMode()
	if err != nil {
		panic(err)
	}
	return encMode, decMode
}()

// frameReader reads frames of one stream.
type frameReader struct {
	input *bufio.Reader
	// payload is the reused buffer for CBOR payloads.
	payload []byte
	// bodyFrameRemaining is the number of unread bytes of the current body frame.
	bodyFrameRemaining int
	bodyTotal          int64
}

var frameReaderPool = sync.Pool{New: func() any {
	return &frameReader{input: bufio.NewReaderSize(nil, readBufferBytes)}
}}

func newFrameReader(in io.Reader) *frameReader {
	r := frameReaderPool.Get().(*frameReader)
	r.input.Reset(in)
	r.bodyFrameRemaining, r.bodyTotal = 0, 0
	return r
}

func (r *frameReader) release() {
	r.input.Reset(nil)
	frameReaderPool.Put(r)
}

// readPrefix reads the type and payload length of the next frame. The end of the
// stream is errTruncated here, because the last frame of every stream is an end or
// failure frame.
func (r *frameReader) readPrefix() (frameType, int, error) {
	prefix, err := r.input.Peek(framePrefixBytes)
	if err != nil {
		if err == io.EOF {
			err = errTruncated
		}
		return 0, 0, err
	}
	kind, length := frameType(prefix[0]), int(binary.BigEndian.Uint32(prefix[1:]))
	if kind < frameCallHeader || kind > frameFailure || length > kind.maxPayloadBytes() {
		return 0, 0, errMalformedFrame
	}
	_, err = r.input.Discard(framePrefixBytes)
	return kind, length, err
}

// decodePayload reads a CBOR payload of n bytes into value.
func (r *frameReader) decodePayload(n int, value any) error {
	if cap(r.payload) < n {
		r.payload = make([]byte, n, max(n, readBufferBytes))
	}
	r.payload = r.payload[:n]
	if _, err := io.ReadFull(r.input, r.payload); err != nil {
		return truncatedIfEOF(err)
	}
	if err := cborDecoding.Unmarshal(r.payload, value); err != nil {
		return eris.Wrap(errMalformedFrame, err.Error())
	}
	return nil
}

// readHeaderFrame reads a frame into value. The frame must have type want.
func (r *frameReader) readHeaderFrame(want frameType, value any) error {
	kind, n, err := r.readPrefix()
	if err != nil {
		return err
	}
	if kind != want {
		return errMalformedFrame
	}
	return r.decodePayload(n, value)
}

// readBody reads the content of the body frames into p. At the end frame it checks
// the total length, stores the frame in end and returns io.EOF. Any other end of the
// stream is an error.
func (r *frameReader) readBody(p []byte, end *endFrame) (int, error) {
	for r.bodyFrameRemaining == 0 {
		kind, n, err := r.readPrefix()
		if err != nil {
			return 0, err
		}
		switch kind {
		case frameBody:
			r.bodyFrameRemaining = n
		case frameEnd:
			if err := r.decodePayload(n, end); err != nil {
				return 0, err
			}
			if end.Total != r.bodyTotal {
				return 0, errLengthMismatch
			}
			return 0, io.EOF
		case frameFailure:
			var f failureFrame
			if err := r.decodePayload(n, &f); err != nil {
				return 0, err
			}
			return 0, f.toRemoteError()
		default:
			return 0, errMalformedFrame
		}
	}
	n, err := r.input.Read(p[:min(len(p), r.bodyFrameRemaining)])
	r.bodyFrameRemaining -= n
	r.bodyTotal += int64(n)
	return n, truncatedIfEOF(err)
}

func truncatedIfEOF(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errTruncated
	}
	return err
}

// frameBuffer buffers encoded frames, so that a short message takes one write.
type frameBuffer struct{ data []byte }

// frameBufferBytes fits a header frame, a full body frame and an end frame.
const frameBufferBytes = transport.MaxCallFrameBytes + readBufferBytes

var frameBufferPool = sync.Pool{New: func() any { return &frameBuffer{data: make([]byte, 0, frameBufferBytes)} }}

func newFrameBuffer() *frameBuffer { return frameBufferPool.Get().(*frameBuffer) }

func (b *frameBuffer) release() {
	if cap(b.data) > 4*frameBufferBytes {
		return
	}
	b.data = b.data[:0]
	frameBufferPool.Put(b)
}

// Write implements io.Writer for the CBOR encoder.
func (b *frameBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

// appendFrame appends a frame with value as its CBOR payload.
func (b *frameBuffer) appendFrame(kind frameType, value any) error {
	start := len(b.data)
	b.data = append(b.data, byte(kind), 0, 0, 0, 0)
	if err := cborEncoding.NewEncoder(b).Encode(value); err != nil {
		b.data = b.data[:start]
		return eris.Wrap(err, "encode frame")
	}
	n := len(b.data) - start - framePrefixBytes
	if n > kind.maxPayloadBytes() {
		b.data = b.data[:start]
		return eris.Errorf("head of %d bytes exceeds %d", n, kind.maxPayloadBytes())
	}
	binary.BigEndian.PutUint32(b.data[start+1:], uint32(n))
	return nil
}

// appendBody appends p as body frames.
func (b *frameBuffer) appendBody(p []byte) {
	for len(p) > 0 {
		n := min(len(p), transport.MaxCallFrameBytes)
		b.data = append(b.data, byte(frameBody), 0, 0, 0, 0)
		binary.BigEndian.PutUint32(b.data[len(b.data)-4:], uint32(n))
		b.data = append(b.data, p[:n]...)
		p = p[n:]
	}
}

// flush writes the buffered frames and empties the buffer.
func (b *frameBuffer) flush(out io.Writer) error {
	if len(b.data) == 0 {
		return nil
	}
	_, err := out.Write(b.data)
	b.data = b.data[:0]
	return err
}
