package membership

// State is what the cluster holds of a member.
type State uint8

// States of a member.
const (
	// StateAlive says that the member answers.
	StateAlive State = iota + 1
	// StateSuspect says that the member has not answered some probe and may yet refute.
	StateSuspect
	// StateLeaving says that the member has announced a planned stop; it still answers.
	StateLeaving
	// StateDead says that the member is gone, until it shows up again.
	StateDead
)

// String names the state.
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
	// Incarnation tells the processes of one node apart; a later process has the higher one.
	Incarnation uint64
	// GossipAddress is the "ip:port" where the member takes datagrams.
	GossipAddress string
	// PeerAddress is the "ip:port" where the member takes calls of the peer protocol.
	PeerAddress string
	Zone        string
	Region      string
	State       State
}
