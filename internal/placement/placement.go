// Package placement maps shards and engines to nodes by rendezvous hashing over the live members, preferring the
// nearest zone. The result is a hint, since nodes may have different views of the members for a while. Correctness
// depends on the epochs in the log.
package placement

// Member is a node that can own keys.
type Member struct {
	Node        string
	PeerAddress string
	Zone        string
	Region      string
}

// Preference is the preferred location of an owner; empty fields are ignored.
type Preference struct {
	Zone   string
	Region string
}

// Placer determines which member should own a key.
type Placer interface {
	// Owner returns the member placed for key; false when no member is alive.
	Owner(key string, preference Preference) (Member, bool)
	// Self returns the member of this node.
	Self() Member
	// Changed returns a channel that is closed when the members change.
	Changed() <-chan struct{}
}
