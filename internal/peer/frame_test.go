package peer

import (
	"bufio"
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
)

func encodeForTest(t testing.TB, header frameHeader, method string, body Message) []byte {
	encoded, err := new(frameEncoder).encode(header, method, body)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// FuzzReadFrame checks that arbitrary bytes are either rejected or decode to a frame that survives another round of
// encoding and decoding.
func FuzzReadFrame(f *testing.F) {
	f.Add(encodeForTest(f, frameHeader{Stream: 1, Kind: kindRequest, TimeoutMillis: 5, Credit: 9}, "echo", newText("body")))
	f.Add(encodeForTest(f, frameHeader{Kind: kindPing}, "", nil))
	f.Add([]byte{0, 0, 0, 2, 0x95, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		is := is.New(t)
		body := msgp.Raw(decoded.body)
		encoded := encodeForTest(t, decoded.header, string(decoded.header.Method), &body)
		reread, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		is.NoErr(err)
		is.True(bytes.Equal(reread.header.Method, decoded.header.Method)) // nil or empty, depending on the pooled frame
		reread.header.Method, decoded.header.Method = nil, nil
		is.Equal(reread.header, decoded.header)
		if len(decoded.body) > 0 { // msgp.Raw encodes an empty body as nil
			is.Equal(reread.body, decoded.body)
		}
	})
}

func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	for name, data := range map[string][]byte{
		"too long":        {0x01, 0, 0, 1},
		"no header":       {0, 0, 0, 0},
		"unknown kind":    encodeForTest(t, frameHeader{Kind: kindGoAway + 1}, "", nil),
		"negative credit": encodeForTest(t, frameHeader{Kind: kindCredit, Credit: -1}, "", nil),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
			is.New(t).True(errors.Is(err, errProtocol))
		})
	}
}

func randomBytes(random *rand.Rand, length int) []byte {
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}
