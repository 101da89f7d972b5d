package membership

import "encoding/binary"

const (
	fingerprintBytes = 2
	bitsPerByte      = 8
	// saltMultiplier spreads the salt over all bits of a digest (the 64-bit golden ratio).
	saltMultiplier   = 0x9e3779b97f4a7c15
	fingerprintShift = 48
)

// keyFingerprint is a key with the digest of its record and a short salted fingerprint of that digest. Every request
// uses a new salt, so that two records whose fingerprints collide differ in the next request.
type keyFingerprint struct {
	key         string
	digest      uint64
	fingerprint uint16
}

// fingerprints returns the fingerprints of the records of keys.
func (p *protocol) fingerprints(keys []string, salt uint32) []keyFingerprint {
	result := make([]keyFingerprint, 0, len(keys))
	for _, key := range keys {
		digest := p.keyDigest(key)
		mixed := (digest ^ uint64(salt)*saltMultiplier) * saltMultiplier
		result = append(result, keyFingerprint{key: key, digest: digest, fingerprint: uint16(mixed >> fingerprintShift)})
	}
	return result
}

func encodeFingerprints(list []keyFingerprint) []byte {
	encoded := make([]byte, 0, len(list)*fingerprintBytes)
	for _, item := range list {
		encoded = binary.BigEndian.AppendUint16(encoded, item.fingerprint)
	}
	return encoded
}

func decodeFingerprints(encoded []byte) []uint16 {
	fingerprints := make([]uint16, 0, len(encoded)/fingerprintBytes)
	for ; len(encoded) >= fingerprintBytes; encoded = encoded[fingerprintBytes:] {
		fingerprints = append(fingerprints, binary.BigEndian.Uint16(encoded))
	}
	return fingerprints
}

// missingBitmap returns a bitmap of the remote fingerprints that are not among the local ones.
func missingBitmap(local []keyFingerprint, remote []byte) []byte {
	known := make(map[uint16]bool, len(local))
	for _, item := range local {
		known[item.fingerprint] = true
	}
	remoteFingerprints := decodeFingerprints(remote)
	missing := make([]byte, (len(remoteFingerprints)+bitsPerByte-1)/bitsPerByte)
	for position, fingerprint := range remoteFingerprints {
		if !known[fingerprint] {
			missing[position/bitsPerByte] |= 1 << (position % bitsPerByte)
		}
	}
	return missing
}

// bitSet reports whether the bit at position is set; bits beyond the end are not.
func bitSet(bits []byte, position int) bool {
	index := position / bitsPerByte
	return index < len(bits) && bits[index]&(1<<(position%bitsPerByte)) != 0
}
