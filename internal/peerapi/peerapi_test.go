package peerapi

import (
	"testing"

	"github.com/matryer/is"
)

// TestHugeLengthsAreRefused decodes messages of a few bytes that claim to hold billions of elements.
func TestHugeLengthsAreRefused(t *testing.T) {
	is := is.New(t)
	array := []byte{0x81, 0xa1, 't', 0xdd, 0xff, 0xff, 0xff, 0xff}
	_, err := new(ExecuteEvent).UnmarshalMsg(array)
	is.True(err != nil)
	_, err = new(DeliveredSample).UnmarshalMsg(array)
	is.True(err != nil)
	_, err = new(EngineInfo).UnmarshalMsg([]byte{0x81, 0xa1, 'v', 0xdf, 0xff, 0xff, 0xff, 0xff})
	is.True(err != nil)

	whole := ExecuteEvent{Tokens: make([]uint32, 262144)}
	encoded, err := whole.MarshalMsg(nil)
	is.NoErr(err)
	_, err = new(ExecuteEvent).UnmarshalMsg(encoded)
	is.NoErr(err)
}
