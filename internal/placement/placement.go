// Package placement maps shards and engines to nodes by rendezvous hashing over the members alive, nearest zone first.
// The map is a hint: every node may hold another view for a while. Safety comes from the epochs in the log.
package placement

// Member is a node as placement sees it.
type Member struct {
	Node        string
	PeerAddress string
	Zone        string
	Region      string
}

// Preference names where an owner had best be; empty fields do not matter.
type Preference struct {
	Zone   string
	Region string
}

// Placer tells which member ought to own a key.
type Placer interface {
	// Owner returns the member placed for key; false when no member is alive.
	Owner(key string, preference Preference) (Member, bool)
	// Self is this node.
	Self() Member
	// Changed returns a channel that is closed when the members change.
	Changed() <-chan struct{}
}
