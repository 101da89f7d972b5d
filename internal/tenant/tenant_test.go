package tenant_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

func directory(count int) *tenant.Directory {
	var tenants []tenant.Tenant
	for i := range count {
		tenants = append(tenants, tenant.Tenant{
			Name: fmt.Sprint("tenant", i), Priority: i % 3, HasPriority: i%2 == 0,
			Keys: []tenant.Digest{tenant.DigestOf(fmt.Sprint("key", i)), tenant.DigestOf(fmt.Sprint("second", i))},
		})
	}
	return tenant.NewDirectory(tenants)
}

func TestFindReturnsTenantOfKey(t *testing.T) {
	is := is.New(t)
	tenants := directory(100)
	for _, key := range []string{"key42", "second42"} {
		found, ok := tenants.Find(key)
		is.True(ok)
		is.Equal(found.Name, "tenant42")
	}
	for _, key := range []string{"", "key", "key100", "tenant42", "key42 "} {
		_, ok := tenants.Find(key)
		is.True(!ok)
	}
	named, ok := tenants.Named("tenant7")
	is.True(ok)
	is.Equal(named.Priority, 1)
	_, ok = tenants.Named("key7")
	is.True(!ok)
}

func TestNilDirectoryHasNoTenants(t *testing.T) {
	is := is.New(t)
	var none *tenant.Directory
	_, ok := none.Find("key1")
	is.True(!ok)
	_, ok = none.Named("")
	is.True(!ok)
	is.Equal(none.Len(), 0)
}

// TestDuplicateKeyBelongsToFirstTenant checks that a configuration which lists a key twice still gives a deterministic result.
func TestDuplicateKeyBelongsToFirstTenant(t *testing.T) {
	is := is.New(t)
	shared := []tenant.Digest{tenant.DigestOf("shared")}
	tenants := tenant.NewDirectory([]tenant.Tenant{{Name: "a", Keys: shared}, {Name: "b", Keys: shared}})
	found, ok := tenants.Find("shared")
	is.True(ok)
	is.Equal(found.Name, "a")
}

func TestFingerprintDoesNotRevealKey(t *testing.T) {
	is := is.New(t)
	is.Equal(tenant.Fingerprint(""), "")
	is.Equal(tenant.Fingerprint("timaj3nr26tta828m82t"), tenant.Fingerprint("timaj3nr26tta828m82t"))
	is.True(tenant.Fingerprint("a") != tenant.Fingerprint("b"))
	is.True(!strings.Contains(tenant.Fingerprint("timaj3nr26tta828m82t"), "timaj"))
}

// FuzzFind checks that only the exact keys find a tenant.
func FuzzFind(f *testing.F) {
	tenants := directory(10)
	for _, seed := range []string{"", "key1", "key1\x00", "\xff\xfe", strings.Repeat("k", 100_000), "key1,key2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, key string) {
		found, ok := tenants.Find(key)
		wanted := false
		for i := range 10 {
			wanted = wanted || key == fmt.Sprint("key", i) || key == fmt.Sprint("second", i)
		}
		if ok != wanted {
			t.Errorf("Find(%q) returned tenant %q, which is not the expected result", key, found.Name)
		}
	})
}

func TestFindAllocatesNothing(t *testing.T) {
	tenants := directory(10_000)
	if allocated := testing.AllocsPerRun(100, func() { tenants.Find("key4242") }); allocated > 0 {
		t.Errorf("Find allocates %v times per call", allocated)
	}
}

// BenchmarkFind measures the look-up of a key among those of 10,000 tenants.
func BenchmarkFind(b *testing.B) {
	tenants := directory(10_000)
	b.ReportAllocs()
	for b.Loop() {
		tenants.Find("key4242")
	}
}
