package membership

// State is the state of a member in this node's view of the cluster.
type State uint8

// States of a member.
const (
	// StateAlive means that the member answers.
	StateAlive State = iota + 1
	// StateSuspect means that the member did not answer a probe and may still refute the suspicion.
	StateSuspect
	// StateLeaving means that the member has announced a planned stop; it still answers.
	StateLeaving
	// StateDead means that the member is gone; it returns when a newer record of it arrives.
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one process of the cluster.
type Member struct {
	// Node names the machine or process; it is unique in the cluster.
	Node string
	// Incarnation distinguishes the processes of one node; a later process has a higher one.
	Incarnation uint64
	// GossipAddress is the "ip:port" where the member receives datagrams.
	GossipAddress string
	// PeerAddress is the "ip:port" where the member accepts calls of the peer protocol.
	PeerAddress string
	Zone        string
	Region      string
	State       State
}
