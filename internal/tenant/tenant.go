// Package tenant tells whose a request is by the API key that came with it. Keys are kept as digests only, so that no key can come out
// of a process by a log line, a dump or a mistake.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tenant is one customer of the service.
type Tenant struct {
	Name string
	// Priority ranks the tenant's work, 0 first, in place of its route's. It counts only if Ranked is set.
	Priority int
	Ranked   bool
	// Regions are those whose engines may run the tenant's requests, nil for all.
	Regions []string
	// Keys are the API keys by which the tenant's requests are known.
	Keys []Digest
}

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// fingerprintBytes of a digest tell the keys of some ten thousand tenants apart and say nothing useful of the key.
const fingerprintBytes = 6

// Fingerprint names a key in logs, empty for no key.
func Fingerprint(key string) string {
	if key == "" {
		return ""
	}
	digest := DigestOf(key)
	return hex.EncodeToString(digest[:fingerprintBytes])
}

// Directory holds the tenants of one version of the configuration. It does not change once it is made, so that look-ups take no lock.
// The nil directory is that of a configuration without tenants.
type Directory struct {
	tenants []Tenant
	byKey   map[Digest]int
	byName  map[string]int
}

// NewDirectory returns a directory of tenants. A key that stands at two tenants is the first one's.
func NewDirectory(tenants []Tenant) *Directory {
	d := &Directory{tenants: tenants, byKey: make(map[Digest]int), byName: make(map[string]int, len(tenants))}
	for i, t := range tenants {
		if _, known := d.byName[t.Name]; !known {
			d.byName[t.Name] = i
		}
		for _, key := range t.Keys {
			if _, known := d.byKey[key]; !known {
				d.byKey[key] = i
			}
		}
	}
	return d
}

// Find returns the tenant that a key belongs to. The key is looked up by its digest: how long that takes tells nothing of other keys.
func (d *Directory) Find(key string) (Tenant, bool) {
	if d == nil || key == "" {
		return Tenant{}, false
	}
	i, ok := d.byKey[DigestOf(key)]
	if !ok {
		return Tenant{}, false
	}
	return d.tenants[i], true
}

// Named returns the tenant of a name.
func (d *Directory) Named(name string) (Tenant, bool) {
	if d == nil {
		return Tenant{}, false
	}
	i, ok := d.byName[name]
	if !ok {
		return Tenant{}, false
	}
	return d.tenants[i], true
}

// Len returns how many tenants there are.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.tenants)
}
