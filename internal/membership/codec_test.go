package membership

import (
	"testing"

	"github.com/matryer/is"
)

// samplePacket returns a datagram with one record of each kind.
func samplePacket() []byte {
	encoder := newEncoder(&header{Kind: packetPing, Sequence: 7, From: "a", Incarnation: 1, Target: "b"})
	member := &memberRecord{
		Node: "b", Incarnation: 2, Condition: conditionAlive,
		GossipAddress: encodeAddress("10.0.0.1:7000"), PeerAddress: encodeAddress("[fe80::1]:7001"), Zone: "z", Region: "r",
	}
	state := member.stateRecord()
	encoder.add(encodeRecord(recordMember, member))
	encoder.add(encodeRecord(recordState, &state))
	encoder.add(encodeRecord(recordFact, &factRecord{Key: "k", Version: 3, Value: []byte("v"), AgeSeconds: 4}))
	return encoder.finish("cluster")
}

// TestDecodeRejectsDamagedPackets checks that a datagram is decoded completely, and that one of another cluster, with
// a flipped bit or cut short is rejected.
func TestDecodeRejectsDamagedPackets(t *testing.T) {
	is := is.New(t)
	datagram := samplePacket()
	decoded, err := decode("cluster", datagram)
	is.NoErr(err)
	is.Equal(decoded.header.Sequence, uint32(7))
	is.Equal(formatAddress(decoded.members[0].PeerAddress), "[fe80::1]:7001")
	is.Equal(decoded.states[0].Incarnation, uint64(2))
	is.Equal(decoded.facts[0].Value, []byte("v"))
	_, err = decode("another cluster", datagram)
	is.Equal(err, errMalformed)
	for position := range datagram {
		damaged := append([]byte(nil), datagram...)
		damaged[position] ^= 1
		_, err := decode("cluster", damaged)
		is.Equal(err, errMalformed)
		_, err = decode("cluster", datagram[:position])
		is.Equal(err, errMalformed)
	}
}

// FuzzDecodeBody tests the decoder without the checksum, which fuzzed input would rarely pass.
func FuzzDecodeBody(f *testing.F) {
	f.Add(samplePacket()[prefixBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := decodeBody(body)
		if err != nil {
			return
		}
		if !decoded.header.valid() {
			t.Fatal("invalid header was accepted")
		}
		for _, record := range decoded.members {
			if formatAddress(record.GossipAddress) == "" || len(encodeRecord(recordMember, &record)) > maxPacketBytes/2 {
				t.Fatalf("member out of bounds: %+v", record)
			}
		}
		for _, record := range decoded.facts {
			if !validFact(record.Key, record.Value) {
				t.Fatalf("fact out of bounds: %+v", record)
			}
		}
	})
}
