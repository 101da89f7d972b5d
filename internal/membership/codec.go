package membership

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
)

// Layout of a datagram: version, checksum of the cluster's name and of all that follows, header, records.
const (
	wireVersion    = 1
	checksumBytes  = 4
	prefixBytes    = 1 + checksumBytes
	maxPacketBytes = 1200
	// overheadBytes is the size of the IP and UDP headers of a datagram.
	overheadBytes = 28
)

var errMalformed = errors.New("datagram is malformed")

// packet is a decoded datagram.
type packet struct {
	header header
	// members, states and facts are the records, by kind.
	members []memberRecord
	states  []stateRecord
	facts   []factRecord
}

// encoder builds one datagram of at most limit bytes.
type encoder struct {
	buffer []byte
	limit  int
}

// newEncoder starts a datagram. Every header fits into maxPacketBytes.
func newEncoder(head *header) *encoder {
	buffer := make([]byte, prefixBytes, maxPacketBytes)
	return &encoder{buffer: mustMarshal(buffer, head), limit: maxPacketBytes}
}

// add appends an encoded record and reports whether it fitted.
func (e *encoder) add(record []byte) bool {
	if len(e.buffer)+len(record) > e.limit {
		return false
	}
	e.buffer = append(e.buffer, record...)
	return true
}

// finish sets the version and checksum and returns the datagram.
func (e *encoder) finish(cluster string) []byte {
	e.buffer[0] = wireVersion
	binary.BigEndian.PutUint32(e.buffer[1:], checksum(cluster, e.buffer[prefixBytes:]))
	return e.buffer
}

func checksum(cluster string, body []byte) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(cluster)
	_, _ = digest.Write([]byte{wireVersion})
	_, _ = digest.Write(body)
	return uint32(digest.Sum64())
}

// encodeRecord returns a record preceded by its kind.
func encodeRecord(kind recordKind, record msgp.Marshaler) []byte {
	return mustMarshal([]byte{byte(kind)}, record)
}

// mustMarshal appends a message. Encoding cannot fail for messages without extensions or interfaces.
func mustMarshal(buffer []byte, message msgp.Marshaler) []byte {
	encoded, err := message.MarshalMsg(buffer)
	if err != nil {
		panic("membership: message cannot be encoded: " + err.Error())
	}
	return encoded
}

// decode reads a datagram. For any input it returns either a packet within all limits or errMalformed.
func decode(cluster string, datagram []byte) (*packet, error) {
	if len(datagram) < prefixBytes || len(datagram) > maxPacketBytes || datagram[0] != wireVersion {
		return nil, errMalformed
	}
	body := datagram[prefixBytes:]
	if binary.BigEndian.Uint32(datagram[1:]) != checksum(cluster, body) {
		return nil, errMalformed
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (*packet, error) {
	result := &packet{}
	rest, err := result.header.UnmarshalMsg(body)
	if err != nil || !result.header.valid() {
		return nil, errMalformed
	}
	for len(rest) > 0 {
		rest, err = result.decodeRecord(recordKind(rest[0]), rest[1:])
		if err != nil {
			return nil, errMalformed
		}
	}
	return result, nil
}

func (p *packet) decodeRecord(kind recordKind, body []byte) ([]byte, error) {
	switch kind {
	case recordMember:
		var record memberRecord
		rest, err := record.UnmarshalMsg(body)
		if err != nil || !record.valid() {
			return nil, errMalformed
		}
		p.members = append(p.members, record)
		return rest, nil
	case recordState:
		var record stateRecord
		rest, err := record.UnmarshalMsg(body)
		if err != nil || !record.valid() {
			return nil, errMalformed
		}
		p.states = append(p.states, record)
		return rest, nil
	case recordFact:
		var record factRecord
		rest, err := record.UnmarshalMsg(body)
		if err != nil || !record.valid() {
			return nil, errMalformed
		}
		p.facts = append(p.facts, record)
		return rest, nil
	default:
		return nil, errMalformed
	}
}

func (h *header) valid() bool {
	if h.Kind < packetPing || h.Kind > packetSyncPush {
		return false
	}
	if h.Kind == packetPingRequest {
		if _, err := decodeAddress(h.TargetAddress); err != nil || h.Target == "" {
			return false
		}
	}
	if len(h.Fingerprints) > syncRangeKeys*fingerprintBytes || len(h.Fingerprints)%fingerprintBytes != 0 {
		return false
	}
	return h.From != "" && len(h.From) <= maxNodeBytes && len(h.Target) <= maxNodeBytes
}

func (r *memberRecord) valid() bool {
	if _, err := decodeAddress(r.GossipAddress); err != nil {
		return false
	}
	if len(r.PeerAddress) > 0 {
		if _, err := decodeAddress(r.PeerAddress); err != nil {
			return false
		}
	}
	if len(r.Zone) > maxLocationBytes || len(r.Region) > maxLocationBytes {
		return false
	}
	return validState(r.Node, r.Condition)
}

func (r *stateRecord) valid() bool {
	return len(r.Suspecter) <= maxNodeBytes && validState(r.Node, r.Condition)
}

func (r *factRecord) valid() bool { return validFact(r.Key, r.Value) }

func validState(node string, observed condition) bool {
	return node != "" && len(node) <= maxNodeBytes && observed >= conditionAlive && observed <= conditionDead
}

func validFact(key string, value []byte) bool {
	return key != "" && len(key) <= maxFactKeyBytes && len(value) <= MaxFactBytes
}

// encodeAddress returns the binary form of an "ip:port", or nil if address is not valid.
func encodeAddress(address string) []byte {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	encoded, err := parsed.MarshalBinary()
	if err != nil {
		return nil
	}
	return encoded
}

// decodeAddress is the inverse of encodeAddress; an empty input is an error.
func decodeAddress(encoded []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(encoded); err != nil || !address.IsValid() {
		return netip.AddrPort{}, errMalformed
	}
	return address, nil
}

// formatAddress returns the "ip:port" of an encoded address, or "" if it is not valid.
func formatAddress(encoded []byte) string {
	address, err := decodeAddress(encoded)
	if err != nil {
		return ""
	}
	return address.String()
}
