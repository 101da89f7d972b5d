package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/samber/oops"
)

// ErrNotCanonical says that a document is a bundle, but not in its canonical form.
var ErrNotCanonical = errors.New("bundle is not in canonical form")

// Canonical encodes a valid bundle as JSON, always the same way: keys in the order of the schema, no white space,
// durations in their shortest whole unit, keys at their zero value left out where the schema allows it.
func Canonical(b *Bundle) []byte {
	encoded, err := json.Marshal(b)
	if err != nil {
		panic("a bundle holds a value that JSON cannot: " + err.Error())
	}
	return encoded
}

// Digest is the hex SHA-256 of a canonical form.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// DecodeCanonical is the strict inverse of Canonical: it refuses every other encoding of the same bundle, and so also
// unknown, repeated and missing keys. It costs far less than Decode, but names no lines.
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
