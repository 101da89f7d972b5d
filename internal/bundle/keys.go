package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/samber/oops"
)

const (
	privateKeyPrefix = "hillfork-ed25519-private:"
	// signOffDomain separates sign-offs from other signatures, so that a sign-off is not valid as a signature of
	// anything else.
	signOffDomain = "hillfork bundle sign-off v1\x00"
)

// TrustedKeys maps a partner to the public keys that are valid for its signatures. The keys for the first bundle come
// from the node's settings, later ones from the bundle in force.
type TrustedKeys map[string][]ed25519.PublicKey

// ParseTrustedKeys parses keys in the text form that bundles use.
func ParseTrustedKeys(texts map[string][]string) (TrustedKeys, error) {
	keys := TrustedKeys{}
	for partner, list := range texts {
		for _, text := range list {
			key, err := ParsePublicKey(text)
			if err != nil {
				return nil, oops.With("partner", partner).Wrapf(err, "key of partner %q", partner)
			}
			keys[partner] = append(keys[partner], key)
		}
	}
	return keys, nil
}

// keysOf returns the keys in a valid bundle.
func keysOf(b *Bundle) TrustedKeys {
	keys := TrustedKeys{}
	for _, partner := range b.Partners {
		for _, text := range partner.Keys {
			if key, err := ParsePublicKey(text); err == nil {
				keys[partner.Name] = append(keys[partner.Name], key)
			}
		}
	}
	return keys
}

// GenerateKey generates a key pair from the system's random source.
func GenerateKey() (ed25519.PublicKey, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	return public, private, oops.Wrap(err)
}

// FormatPublicKey encodes a public key in base64, as used in bundles and settings.
func FormatPublicKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// ParsePublicKey parses a public key in the form that FormatPublicKey returns.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize || FormatPublicKey(key) != text {
		return nil, oops.Errorf("%.60q is not an ed25519 public key in base64", text)
	}
	return key, nil
}

// FormatPrivateKey encodes a private key as the content of a key file.
func FormatPrivateKey(key ed25519.PrivateKey) []byte {
	return []byte(privateKeyPrefix + base64.StdEncoding.EncodeToString(key.Seed()) + "\n")
}

// ParsePrivateKey parses the content of a key file. Its errors do not contain the content.
func ParsePrivateKey(content []byte) (ed25519.PrivateKey, error) {
	text, found := strings.CutPrefix(strings.TrimSpace(string(content)), privateKeyPrefix)
	if !found {
		return nil, oops.Errorf("key file must begin with %q", privateKeyPrefix)
	}
	seed, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, oops.Errorf("key file does not hold an ed25519 private key")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// Sign returns the signature of a sign-off of (digest, version, base).
func Sign(private ed25519.PrivateKey, digest string, version, base uint64) []byte {
	return ed25519.Sign(private, signOffMessage(digest, version, base))
}

// Verify reports whether a sign-off was signed with the private key that belongs to public.
func Verify(public ed25519.PublicKey, digest string, version, base uint64, signature []byte) bool {
	return len(public) == ed25519.PublicKeySize && ed25519.Verify(public, signOffMessage(digest, version, base), signature)
}

func signOffMessage(digest string, version, base uint64) []byte {
	message := []byte(signOffDomain + digest + "\x00")
	message = binary.BigEndian.AppendUint64(message, version)
	return binary.BigEndian.AppendUint64(message, base)
}

// verifyAny reports whether the sign-off was signed with any of the keys.
func verifyAny(keys []ed25519.PublicKey, digest string, version, base uint64, signature []byte) bool {
	for _, key := range keys {
		if Verify(key, digest, version, base, signature) {
			return true
		}
	}
	return false
}

func containsKey(keys []ed25519.PublicKey, key ed25519.PublicKey) bool {
	for _, other := range keys {
		if key.Equal(other) {
			return true
		}
	}
	return false
}
