package enginelist

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
)

// TestEntriesOfOtherVersionsAreRead decodes an entry with an additional field, as a later version may write it, and one
// that lacks its last field.
func TestEntriesOfOtherVersionsAreRead(t *testing.T) {
	const fields = 9
	is := is.New(t)
	own := engineState{engine: fleet.Engine{ID: "one", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:80").String(), Slots: 4}, offset: 7}
	value, err := own.encode()
	is.NoErr(err)
	size, rest, err := msgp.ReadArrayHeaderBytes(value)
	is.NoErr(err)
	is.Equal(size, uint32(fields))
	longer := append(msgp.AppendArrayHeader(nil, fields+1), rest...)
	found, err := decode("one", msgp.AppendString(longer, "something new"))
	is.NoErr(err)
	is.Equal(found, own)
	shorter := append(msgp.AppendArrayHeader(nil, fields-1), bytes.TrimSuffix(rest, msgp.AppendInt64(nil, own.offset))...)
	found, err = decode("one", shorter)
	is.NoErr(err)
	is.Equal(found.engine, own.engine)
	is.Equal(found.offset, int64(0))
	_, err = decode("one", msgp.AppendArrayHeader(nil, 0))
	is.True(err != nil)
}
