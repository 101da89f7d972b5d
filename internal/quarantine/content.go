// Package quarantine records which requests engines were running when they ended, and withholds requests that crash engines.
// Requests are identified by their content instead of their id, since a caller that retries uses a new id.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/hillfork/hillfork/internal/engineapi"
)

// Content identifies a request: it is the same for every attempt of a tenant with the same host, method, target and body,
// whatever their ids, deadlines and other headers. It depends on the tenant, so that no tenant can have another's requests
// refused.
type Content [contentBytes]byte

// contentBytes is half the size of a SHA-256 hash: the probability that any two of 10^9 contents collide is 10^-21.
const contentBytes = 16

// ContentOf returns the content of a call.
func ContentOf(call engineapi.Call) Content {
	hash := sha256.New()
	for _, part := range []string{call.Tenant, call.Host, call.Method, call.Target} {
		// The lengths mark the boundaries between adjacent parts.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(call.Body)
	return Content(hash.Sum(nil)[:contentBytes])
}

// String returns the content as it is written in logs and keys.
func (c Content) String() string {
	return hex.EncodeToString(c[:])
}
