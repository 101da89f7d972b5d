package cluster

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"regexp"

	"github.com/hillfork/hillfork/internal/bundle"
)

// keyPattern is how a trace's bundle names a partner's key.
var keyPattern = regexp.MustCompile(`\$\{KEY:([A-Za-z0-9_-]+)\}`)

// Keys holds the keys that the lab makes for partners, from the trace's seed.
type Keys struct {
	private map[string]ed25519.PrivateKey
}

// NewKeys makes a key for every partner that the documents name.
func NewKeys(seed uint64, documents map[string][]byte) *Keys {
	keys := &Keys{private: make(map[string]ed25519.PrivateKey)}
	for _, document := range documents {
		for _, match := range keyPattern.FindAllSubmatch(document, -1) {
			partner := string(match[1])
			material := sha256.Sum256(fmt.Appendf(nil, "hillfork-lab-key/%d/%s", seed, partner))
			keys.private[partner] = ed25519.NewKeyFromSeed(material[:])
		}
	}
	return keys
}

// Fill replaces the names of keys in a document by the public keys.
func (k *Keys) Fill(document []byte) []byte {
	return keyPattern.ReplaceAllFunc(document, func(match []byte) []byte {
		partner := string(bytes.TrimSuffix(match[len("${KEY:"):], []byte("}")))
		return []byte(bundle.FormatPublicKey(k.public(partner)))
	})
}

// Trusted returns the public keys of all partners.
func (k *Keys) Trusted() bundle.TrustedKeys {
	trusted := make(bundle.TrustedKeys, len(k.private))
	for partner := range k.private {
		trusted[partner] = []ed25519.PublicKey{k.public(partner)}
	}
	return trusted
}

// Sign signs a bundle off for a partner.
func (k *Keys) Sign(partner, digest string, version, base uint64) []byte {
	return bundle.Sign(k.private[partner], digest, version, base)
}

func (k *Keys) public(partner string) ed25519.PublicKey {
	return k.private[partner].Public().(ed25519.PublicKey)
}
