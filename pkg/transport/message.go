package transport

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// compressionThreshold is the size in bytes above which a message is compressed.
const compressionThreshold = 1 << 10

// maxEnvelopeOverhead bounds the size of an encoded envelope without its payload,
// in bytes.
const maxEnvelopeOverhead = 1 << 10

// maxErrorBytes bounds the error text in a reply, in bytes.
const maxErrorBytes = 512

// Values of the first byte of a message, which defines the encoding of the rest.
const (
	encodingPlain byte = iota
	encodingZstd
)

// ErrTooLarge means that a message exceeds MaxMessageBytes.
var ErrTooLarge = eris.New("message exceeds the size limit")

// envelope is a control message or the reply to one.
type envelope struct {
	Kind    Kind               `cbor:"1,keyasint,omitempty"`
	Time    timeline.Timestamp `cbor:"2,keyasint"`
	Payload []byte             `cbor:"3,keyasint,omitempty"`
	Error   string             `cbor:"4,keyasint,omitempty"`
}

// codec encodes and decodes envelopes. It is safe for concurrent use.
type codec struct {
	decode       cbor.DecMode
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
}

func newCodec() (*codec, error) {
	decode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: 16, MaxArrayElements: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "CBOR decoder")
	}
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(256<<10))
	if err != nil {
		return nil, eris.Wrap(err, "zstd encoder")
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxMessageBytes+maxEnvelopeOverhead))
	if err != nil {
		return nil, eris.Wrap(err, "zstd decoder")
	}
	return &codec{decode: decode, compressor: compressor, decompressor: decompressor}, nil
}

func (c *codec) close() {
	_ = c.compressor.Close()
	c.decompressor.Close()
}

// marshal encodes a message, compressed if that makes a large message smaller.
func (c *codec) marshal(message envelope) ([]byte, error) {
	if len(message.Payload) > MaxMessageBytes {
		return nil, eris.Wrapf(ErrTooLarge, "payload of %d bytes", len(message.Payload))
	}
	if len(message.Error) > maxErrorBytes {
		message.Error = message.Error[:maxErrorBytes]
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(encoded) <= compressionThreshold {
		return append([]byte{encodingPlain}, encoded...), nil
	}
	compressed := c.compressor.EncodeAll(encoded, append(make([]byte, 0, len(encoded)/2), encodingZstd))
	if len(compressed) > len(encoded) {
		return append([]byte{encodingPlain}, encoded...), nil
	}
	return compressed, nil
}

// unmarshal decodes a message. The zstd decoder stops at the size limit, so a
// small message cannot expand beyond it.
func (c *codec) unmarshal(data []byte) (message envelope, err error) {
	if len(data) == 0 {
		return message, eris.New("empty message")
	}
	body := data[1:]
	switch data[0] {
	case encodingPlain:
	case encodingZstd:
		body, err = c.decompressor.DecodeAll(body, nil)
		if err != nil {
			return message, eris.Wrap(err, "decompress message")
		}
	default:
		return message, eris.Errorf("unknown message encoding %d", data[0])
	}
	if len(body) > MaxMessageBytes+maxEnvelopeOverhead {
		return message, eris.Wrapf(ErrTooLarge, "%d bytes", len(body))
	}
	return message, eris.Wrap(c.decode.Unmarshal(body, &message), "decode message")
}

// readMessage reads one message up to the end of the stream.
func (c *codec) readMessage(r io.Reader) (message envelope, size int, err error) {
	const limit = MaxMessageBytes + maxEnvelopeOverhead + 1
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return message, len(data), eris.Wrap(err, "read message")
	}
	if len(data) > limit {
		return message, len(data), eris.Wrap(ErrTooLarge, "read message")
	}
	message, err = c.unmarshal(data)
	return message, len(data), err
}
