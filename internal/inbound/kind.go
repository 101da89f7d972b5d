// Package inbound bounds what a process reads from other machines: the size of each thing that they send, by its kind, and the
// memory that answers of engines take together while they are read. How long a read may take is bounded by the context of its
// call.
package inbound

import "errors"

// Errors of a read. After either the sender may have done what it was asked.
var (
	// ErrTooLarge means that the sender sent more than an answer of its kind can be.
	ErrTooLarge = errors.New("inbound: answer is too large")
	// ErrNoMemory means that other answers hold the memory. It says nothing of the sender.
	ErrNoMemory = errors.New("inbound: no memory for the answer")
)

// Kind is a kind of data that another machine sends.
type Kind int

// Kinds of data.
const (
	// Head is the status line and the header of an answer, with the informational answers before it.
	Head Kind = iota
	// Answer is the body of an engine's answer to a request.
	Answer
	// Event is one event of a stream, with all that the engine sends between the previous event and its end.
	Event
	// Report is an engine's report.
	Report
	// Rest is the part of an answer that is not needed. It is read so that the connection can be used again.
	Rest
	// StoreAnswer is the body of an answer of the store.
	StoreAnswer
	// ProviderAnswer is the body of an answer of the provider that takes usage and orders of engines.
	ProviderAnswer
	// CallerHead is the request line and the header of a caller's request.
	CallerHead
	// CallerBody is the body of a caller's request where the configuration states no limit.
	CallerBody
	// Kinds is the number of kinds.
	Kinds
)

var names = [Kinds]string{
	"head", "answer", "event", "report", "rest", "store_answer", "provider_answer", "caller_head", "caller_body",
}

// limits holds the maximum size of each kind in bytes.
var limits = [Kinds]int64{
	Head: 64 << 10,
	// The memory of the process bounds an answer further, see Budget.
	Answer: 64 << 20,
	// Events are some hundred bytes.
	Event:  256 << 10,
	Report: 256 << 10,
	// A refusal is smaller and arrives together with its head.
	Rest: 2 << 10,
	// The store sends 1 MB of records at most, and a page of newest records in base64.
	StoreAnswer:    4 << 20,
	ProviderAnswer: 64 << 10,
	CallerHead:     128 << 10,
	CallerBody:     32 << 20,
}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return names[k]
}

// sharesMemory reports whether the kind takes the memory that answers of engines share. Reports and answers of the store don't, so that
// they are read also while engines send without end.
func (k Kind) sharesMemory() bool {
	return k == Answer || k == Event
}

// Limit returns the maximum size in bytes.
func (k Kind) Limit() int64 {
	return limits[k]
}
