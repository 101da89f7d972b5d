package membership

//go:generate go tool msgp -file message.go -tests=false -io=false -unexported

// packetKind tells what a datagram is for.
type packetKind uint8

const (
	// packetPing asks its target for an ack.
	packetPing packetKind = iota + 1
	// packetAck answers a ping; its target is the one who answers.
	packetAck
	// packetPingRequest asks the receiver to ping the target at TargetAddress, and to pass the ack on.
	packetPingRequest
	// packetGossip only carries records.
	packetGossip
	// packetSyncRequest asks whether the records of a range of keys are the same, or for those that differ.
	packetSyncRequest
	// packetSyncReply answers packetSyncRequest, a detailed one with records from Cursor up to Next.
	packetSyncReply
	// packetUrgent carries records like packetGossip, outside the share of the budget that news has.
	packetUrgent
	// packetIntroduction carries the sender's own record to one who does not have it.
	packetIntroduction
	// packetSyncPush carries records that the sender of a sync reply lacks.
	packetSyncPush
)

//msgp:tuple header
//msgp:tuple memberRecord
//msgp:tuple stateRecord
//msgp:tuple factRecord

// header opens a datagram. Records follow it up to the end of the datagram.
type header struct {
	Kind     packetKind
	Sequence uint32
	// From names the sender, with its present Incarnation and Refutation.
	From        string
	Incarnation uint64
	Refutation  uint32
	// Introduce asks the receiver to send its own memberRecord, since the sender does not have it.
	Introduce bool
	// Target is the member that a ping is meant for or that an ack comes from; empty where the sender of a ping knows
	// only an address.
	Target        string
	TargetAddress []byte
	// Cursor and End bound the keys of a sync, both exclusive and inclusive in this order; an empty End has no bound.
	Cursor string
	End    string
	// Digest is that of the sender's records in the range of a sync request.
	Digest uint64
	// Detailed says that a sync request carries fingerprints and wants the records that differ. Others only want to know
	// whether the range is equal.
	Detailed bool
	// Fingerprints are those of the sender's records in the range, in the order of their keys.
	Fingerprints []byte
	// Missing has a bit for each of the fingerprints of the request that the sender of a sync reply has no record of.
	Missing []byte
	// Next is the last key that a sync reply covers; empty when it reached the end of all keys.
	Next string
	// Equal says that the digests of a sync were the same.
	Equal bool
}

// recordKind tells what record follows.
type recordKind uint8

const (
	recordMember recordKind = iota + 1
	recordState
	recordFact
)

// memberRecord tells all about a member.
type memberRecord struct {
	Node          string
	Incarnation   uint64
	Refutation    uint32
	Condition     condition
	Leaving       bool
	GossipAddress []byte
	PeerAddress   []byte
	Zone          string
	Region        string
}

// stateRecord tells a change of a member that the receiver is expected to know.
type stateRecord struct {
	Node        string
	Incarnation uint64
	Refutation  uint32
	Condition   condition
	Leaving     bool
	// Suspecter is who found that the member does not answer; empty unless it is suspect.
	Suspecter string
}

// factRecord tells a fact.
type factRecord struct {
	Key     string
	Version uint64
	Value   []byte
	// AgeSeconds is how long ago the fact was set, rounded up.
	AgeSeconds uint32
}

// condition is how a member is seen. Of two records of the same incarnation and refutation the one of the higher
// condition wins.
type condition uint8

const (
	conditionAlive condition = iota + 1
	conditionSuspect
	conditionDead
)
