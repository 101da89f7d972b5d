package bundle

import (
	"fmt"
	"testing"
	"time"
)

// largeBundle returns a bundle of the size of a deployment with two partners and 24 workloads.
func largeBundle(version uint64) *Bundle {
	b := testBundle(version, 0.01, "ann", "bob")
	for i := range 23 {
		workload := b.Workloads[0]
		workload.Name = fmt.Sprintf("captioning-%d", i)
		workload.Limits.Timeout = Duration(time.Duration(i+1) * time.Second)
		b.Workloads = append(b.Workloads, workload)
	}
	return b
}

// BenchmarkAcceptance measures folding the proposal and the two sign-offs of one change.
func BenchmarkAcceptance(b *testing.B) {
	var records [][]byte
	for version := range uint64(50) {
		records = append(records, acceptRecords(largeBundle(version+1), "ann", "bob")...)
	}
	for b.Loop() {
		fold := NewFold(testTrusted("ann", "bob"))
		apply(fold, 0, records...)
		if fold.Version() != 50 {
			b.Fatal(fold.Version())
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/50, "µs/change")
	b.ReportMetric(float64(len(Canonical(largeBundle(1)))), "bytes/bundle")
}
