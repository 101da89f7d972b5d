package peer

//go:generate go tool msgp -file frame.go -tests=false -unexported

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

//msgp:tuple frameHeader
//msgp:tuple wireError
//msgp:ignore frame
//msgp:ignore frameEncoder

// MaxFrameBytes is the maximum size of a frame, header and body together.
const MaxFrameBytes = 16 << 20

const (
	lengthBytes = 4
	// readChunkBytes is the minimum step in which the buffer of a frame grows while the frame is read, so that a false
	// length allocates little memory.
	readChunkBytes = 64 << 10
	// maxPooledBytes is the capacity up to which a buffer is kept for reuse.
	maxPooledBytes = 64 << 10
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	kindRequest frameKind = iota + 1
	kindResponse
	kindMessage
	kindEnd
	kindError
	kindCancel
	kindCredit
	kindPing
	kindPong
	kindGoAway
)

// frameHeader is at the start of each frame; the body is the rest of the frame.
type frameHeader struct {
	// Stream is the ID of the call; in a go-away frame, the ID of the last call that the server accepts.
	Stream uint64
	Kind   frameKind
	Method []byte
	// TimeoutMillis is the time left until the caller's deadline; 0 means no deadline.
	TimeoutMillis int64
	// Credit is the number of further message bytes that the receiver accepts. A request for a stream carries the
	// initial credit.
	Credit int64
}

// wireError is the encoding of an Error on the wire.
type wireError struct {
	Code            uint8
	Message         string
	OwnerHint       string
	RetryAfterNanos int64
}

// errProtocol reports that the bytes received on a connection violate the peer protocol.
var errProtocol = errors.New("peer protocol violated")

// errFrameTooLarge reports that a message does not fit into a frame.
var errFrameTooLarge = fmt.Errorf("message exceeds the largest frame of %d bytes", MaxFrameBytes)

// frame is a decoded frame. Its body is a part of a pooled buffer, which release returns to the pool.
type frame struct {
	header frameHeader
	body   []byte
	size   int
	buffer []byte
}

var framePool = sync.Pool{New: func() any { return new(frame) }}

// release returns the frame to the pool; neither the frame nor its body may be used afterwards.
func (f *frame) release() {
	if cap(f.buffer) > maxPooledBytes {
		f.buffer = nil
	}
	f.body = nil
	framePool.Put(f)
}

// readFrame reads one frame. It returns the errors of the reader unchanged, or an error that wraps errProtocol.
func readFrame(reader *bufio.Reader) (*frame, error) {
	var prefix [lengthBytes]byte
	if err := readPrefix(reader, &prefix); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: frame of %d bytes", errProtocol, length)
	}
	decoded := framePool.Get().(*frame)
	if err := decoded.read(reader, int(length)); err != nil {
		decoded.release()
		return nil, err
	}
	return decoded, nil
}

func readPrefix(reader *bufio.Reader, prefix *[lengthBytes]byte) error {
	for i := range prefix {
		b, err := reader.ReadByte()
		if err != nil {
			if i > 0 && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		prefix[i] = b
	}
	return nil
}

func (f *frame) read(reader io.Reader, length int) error {
	f.size = lengthBytes + length
	f.buffer = f.buffer[:0]
	for len(f.buffer) < length {
		start := len(f.buffer)
		step := min(length-start, max(readChunkBytes, start))
		f.buffer = append(f.buffer, make([]byte, step)...)
		if _, err := io.ReadFull(reader, f.buffer[start:]); err != nil {
			return err
		}
	}
	body, err := f.header.UnmarshalMsg(f.buffer)
	if err != nil {
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	if f.header.Kind < kindRequest || f.header.Kind > kindGoAway {
		return fmt.Errorf("%w: frame of kind %d", errProtocol, f.header.Kind)
	}
	if f.header.Credit < 0 || f.header.TimeoutMillis < 0 {
		return fmt.Errorf("%w: negative credit or timeout", errProtocol)
	}
	f.body = body
	return nil
}

// frameEncoder encodes frames into a buffer that it reuses.
type frameEncoder struct {
	header frameHeader
	buffer []byte
}

var encoderPool = sync.Pool{New: func() any { return new(frameEncoder) }}

func newEncoder() *frameEncoder { return encoderPool.Get().(*frameEncoder) }

func (e *frameEncoder) release() {
	if cap(e.buffer) > maxPooledBytes {
		e.buffer = nil
	}
	encoderPool.Put(e)
}

// encode returns the encoded frame, which is valid until the next encode or release. body may be nil.
func (e *frameEncoder) encode(header frameHeader, method string, body Message) ([]byte, error) {
	header.Method = append(e.header.Method[:0], method...)
	e.header = header
	buffer := append(e.buffer[:0], 0, 0, 0, 0)
	buffer, err := e.header.MarshalMsg(buffer)
	if err == nil && body != nil {
		buffer, err = body.MarshalMsg(buffer)
	}
	if err != nil {
		return nil, err
	}
	e.buffer = buffer
	length := len(buffer) - lengthBytes
	if length > MaxFrameBytes {
		return nil, errFrameTooLarge
	}
	binary.BigEndian.PutUint32(buffer, uint32(length))
	return buffer, nil
}

func toWire(refusal *Error) *wireError {
	return &wireError{
		Code:            uint8(refusal.Code),
		Message:         refusal.Message,
		OwnerHint:       refusal.OwnerHint,
		RetryAfterNanos: int64(refusal.RetryAfter),
	}
}

func decodeError(body []byte) error {
	var wire wireError
	if _, err := wire.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	return &Error{
		Code:       Code(wire.Code),
		Message:    wire.Message,
		OwnerHint:  wire.OwnerHint,
		RetryAfter: time.Duration(wire.RetryAfterNanos),
	}
}
