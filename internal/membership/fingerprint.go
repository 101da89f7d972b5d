package membership

import "encoding/binary"

const (
	fingerprintBytes = 2
	bitsPerByte      = 8
	// saltMultiplier spreads the salt over all bits of a digest (the 64-bit golden ratio).
	saltMultiplier = 0x9e3779b97f4a7c15
	printShift     = 48
)

// fingerprinted is a key with the digest of its record and a short print of it. The print is salted anew for every
// request, so that two records of the same print differ the next time.
type fingerprinted struct {
	key    string
	digest uint64
	print  uint16
}

// fingerprints returns those of the records of keys.
func (p *protocol) fingerprints(keys []string, salt uint32) []fingerprinted {
	result := make([]fingerprinted, 0, len(keys))
	for _, key := range keys {
		digest := p.keyDigest(key)
		mixed := (digest ^ uint64(salt)*saltMultiplier) * saltMultiplier
		result = append(result, fingerprinted{key: key, digest: digest, print: uint16(mixed >> printShift)})
	}
	return result
}

func encodeFingerprints(list []fingerprinted) []byte {
	encoded := make([]byte, 0, len(list)*fingerprintBytes)
	for _, item := range list {
		encoded = binary.BigEndian.AppendUint16(encoded, item.print)
	}
	return encoded
}

func decodeFingerprints(encoded []byte) []uint16 {
	prints := make([]uint16, 0, len(encoded)/fingerprintBytes)
	for ; len(encoded) >= fingerprintBytes; encoded = encoded[fingerprintBytes:] {
		prints = append(prints, binary.BigEndian.Uint16(encoded))
	}
	return prints
}

// missingFrom returns a bit for each of their fingerprints that own has not.
func missingFrom(own []fingerprinted, theirs []byte) []byte {
	held := make(map[uint16]bool, len(own))
	for _, item := range own {
		held[item.print] = true
	}
	prints := decodeFingerprints(theirs)
	missing := make([]byte, (len(prints)+bitsPerByte-1)/bitsPerByte)
	for position, print := range prints {
		if !held[print] {
			missing[position/bitsPerByte] |= 1 << (position % bitsPerByte)
		}
	}
	return missing
}

// bitSet tells whether the bit at position is set; bits beyond the end are not.
func bitSet(bits []byte, position int) bool {
	index := position / bitsPerByte
	return index < len(bits) && bits[index]&(1<<(position%bitsPerByte)) != 0
}
