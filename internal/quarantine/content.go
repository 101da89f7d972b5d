// Package quarantine remembers under which requests engines ended, and keeps a request that crashes engines away from the
// others. Request ids don't serve for that, since a caller that comes again has a new one; requests are told apart by content.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/hillfork/hillfork/internal/engineapi"
)

// Content identifies what a request asks: the same for every attempt of a tenant with the same host, method, target and
// body, whatever their ids, deadlines and other headers. Tenants are kept apart, so that none can have another's requests refused.
type Content [contentBytes]byte

// contentBytes is half a SHA-256: 10^9 contents collide by chance with a probability of 10^-21.
const contentBytes = 16

// ContentOf returns the content of a call.
func ContentOf(call engineapi.Call) Content {
	hash := sha256.New()
	for _, part := range []string{call.Tenant, call.Host, call.Method, call.Target} {
		// Lengths keep neighbouring parts apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(call.Body)
	return Content(hash.Sum(nil)[:contentBytes])
}

// String returns the content as it stands in logs and keys.
func (c Content) String() string {
	return hex.EncodeToString(c[:])
}
