// Package tenant identifies the tenant of a request by its API key. Only digests of keys are stored, so that no key can leak from
// a process through log lines or memory dumps.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tenant is one customer of the service.
type Tenant struct {
	Name string
	// Priority is the priority of the tenant's work, 0 being the highest, and overrides the priority of the route. It is only
	// used if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions whose engines may run the tenant's requests, nil for all.
	Regions []string
	// Keys are the digests of the tenant's API keys.
	Keys []Digest
}

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// fingerprintBytes is the number of leading bytes of a digest that a fingerprint consists of: enough to distinguish the keys of about
// ten thousand tenants, and too few to reveal anything useful about a key.
const fingerprintBytes = 6

// Fingerprint returns an identifier of a key for logs, empty for an empty key.
func Fingerprint(key string) string {
	if key == "" {
		return ""
	}
	digest := DigestOf(key)
	return hex.EncodeToString(digest[:fingerprintBytes])
}

// Directory holds the tenants of one version of the configuration. It is immutable, so that look-ups take no lock. A nil
// directory is a directory without tenants.
type Directory struct {
	tenants []Tenant
	// bound is set if a tenant is bound to regions.
	bound  bool
	byKey  map[Digest]int
	byName map[string]int
}

// NewDirectory returns a directory of tenants. A key that is listed for two tenants belongs to the first.
func NewDirectory(tenants []Tenant) *Directory {
	d := &Directory{tenants: tenants, byKey: make(map[Digest]int), byName: make(map[string]int, len(tenants))}
	for i, t := range tenants {
		d.bound = d.bound || t.Regions != nil
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

// All returns the tenants. The slice must not be changed.
func (d *Directory) All() []Tenant {
	if d == nil {
		return nil
	}
	return d.tenants
}

// BindsRegions reports whether a tenant is bound to regions.
func (d *Directory) BindsRegions() bool {
	return d != nil && d.bound
}

// Find returns the tenant that a key belongs to. The key is looked up by its digest, so that the duration of the look-up reveals
// nothing about other keys.
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

// Named returns the tenant with the given name.
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

// Len returns the number of tenants.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.tenants)
}
