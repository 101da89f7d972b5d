package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/samber/oops"
)

// ErrNotCanonical is returned for a document that is not a bundle in canonical form.
var ErrNotCanonical = errors.New("bundle is not in canonical form")

// Canonical encodes a valid bundle as deterministic JSON: keys in schema order, no white space, durations as a whole
// number of their largest fitting unit, and zero values omitted where the schema allows it.
func Canonical(b *Bundle) []byte {
	encoded, err := json.Marshal(b)
	if err != nil {
		panic("bundle contains a value that JSON cannot represent: " + err.Error())
	}
	return encoded
}

// Digest returns the hex SHA-256 of a canonical form.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// DecodeCanonical is the strict inverse of Canonical. It rejects every other encoding of the same bundle, and therefore
// also unknown, repeated and missing keys. It is much cheaper than Decode, but its errors have no line numbers.
func DecodeCanonical(canonical []byte) (*Bundle, error) {
	if len(canonical) > MaxDocumentBytes {
		return nil, oops.Wrapf(ErrNotCanonical, "it has %d bytes", len(canonical))
	}
	decoded := &Bundle{}
	if err := json.Unmarshal(canonical, decoded); err != nil {
		return nil, oops.Wrapf(ErrNotCanonical, "%v", err)
	}
	if err := Validate(decoded); err != nil {
		return nil, oops.Wrap(err)
	}
	if !bytes.Equal(Canonical(decoded), canonical) {
		return nil, oops.Wrap(ErrNotCanonical)
	}
	return decoded, nil
}
