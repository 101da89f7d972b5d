package engineapi

import "testing"

// TestStatusesAreJudgedOnBothSides guards against a status below 200 that counts as a success, such as 000, with which a reward call's item was
// completed.
func TestStatusesAreJudgedOnBothSides(t *testing.T) {
	for status, want := range map[int]struct{ succeeded, failed bool }{
		-1: {false, true}, 0: {false, true}, 99: {false, true}, 100: {false, true}, 199: {false, true}, 200: {true, false}, 299: {true, false},
		300: {false, false}, 404: {false, false}, 499: {false, false}, 500: {false, true}, 599: {false, true}, 600: {false, true},
	} {
		reply := &Reply{Status: status}
		if reply.Succeeded() != want.succeeded || reply.Failed() != want.failed {
			t.Errorf("%d: succeeded %v, failed %v", status, reply.Succeeded(), reply.Failed())
		}
	}
}
