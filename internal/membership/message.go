package membership

//go:generate go tool msgp -file message.go -tests=false -io=false -unexported

// packetKind is the purpose of a datagram.
type packetKind uint8

const (
	// packetPing requests an ack from its target.
	packetPing packetKind = iota + 1
	// packetAck answers a ping; its target is the member that answers.
	packetAck
	// packetPingRequest requests the receiver to ping the target at TargetAddress and to forward the ack.
	packetPingRequest
	// packetGossip only carries records.
	packetGossip
	// packetSyncRequest requests a comparison of a range of keys, or the records of the range that differ.
	packetSyncRequest
	// packetSyncReply answers packetSyncRequest; the reply to a detailed request carries records from Cursor up to
	// Next.
	packetSyncReply
	// packetUrgent carries records like packetGossip, but is not charged to the budget of updates.
	packetUrgent
	// packetIntroduction carries the sender's own record to a receiver that does not have it.
	packetIntroduction
	// packetSyncPush carries records that the sender of a sync reply lacks.
	packetSyncPush
)

//msgp:tuple header
//msgp:tuple memberRecord
//msgp:tuple stateRecord
//msgp:tuple factRecord

// header is the start of a datagram. Records follow it up to the end of the datagram.
type header struct {
	Kind     packetKind
	Sequence uint32
	// From is the name of the sender; Incarnation and Refutation are its current ones.
	From        string
	Incarnation uint64
	Refutation  uint32
	// Introduce requests the receiver's own memberRecord, which the sender does not have.
	Introduce bool
	// Target is the member that a ping is meant for or that an ack comes from. It is empty if the sender of a ping
	// only knows an address.
	Target        string
	TargetAddress []byte
	// Cursor and End are the bounds of the keys of a sync: Cursor is exclusive and End inclusive. An empty End means
	// no bound.
	Cursor string
	End    string
	// Digest is the digest of the sender's records in the range of a sync request.
	Digest uint64
	// Detailed means that a sync request carries fingerprints and requests the records that differ. Other sync
	// requests only query whether the range is equal.
	Detailed bool
	// Fingerprints are the fingerprints of the sender's records in the range, in the order of their keys.
	Fingerprints []byte
	// Missing is a bitmap of the request's fingerprints for which the sender of a sync reply has no record.
	Missing []byte
	// Next is the last key that a sync reply covers; empty if it reached the end of all keys.
	Next string
	// Equal means that the digests of a sync were equal.
	Equal bool
}

// recordKind is the type of a record; it is the byte in front of the record.
type recordKind uint8

const (
	recordMember recordKind = iota + 1
	recordState
	recordFact
)

// memberRecord holds all fields of a member.
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

// stateRecord is a change of a member that the receiver is expected to know.
type stateRecord struct {
	Node        string
	Incarnation uint64
	Refutation  uint32
	Condition   condition
	Leaving     bool
	// Suspecter is the member that did not get an answer from Node; empty unless Node is suspect.
	Suspecter string
}

// factRecord is a fact as sent.
type factRecord struct {
	Key     string
	Version uint64
	Value   []byte
	// AgeSeconds is the time since the fact was set, rounded up.
	AgeSeconds uint32
}

// condition is a member's condition as seen by others. Of two records of the same incarnation and refutation the one
// with the higher condition wins.
type condition uint8

const (
	conditionAlive condition = iota + 1
	conditionSuspect
	conditionDead
)
