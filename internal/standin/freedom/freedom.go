// Package freedom plays what the users' pages permit the parties around the product to do, and what sound stand-ins never do by themselves:
// answers that are cut, repeated late, without a length or no answer at all, connections that fall silent, orders that are done late. The same
// code serves stand-ins in virtual time and those before real processes. Each kind is drawn at a rate of its own, by a random stream of its own,
// and can be left out without a change to what is drawn of the others.
package freedom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
)

// Kind is one thing that a party may do.
type Kind int

// Kinds of freedoms. The comment of each says what the party does.
const (
	// Copy: an engine sends a second copy of an answer late, in the place where the next answer on the connection is expected.
	Copy Kind = iota
	// Cut: an engine breaks an answer off anywhere, also within its head or an event, and resets the connection.
	Cut
	// Unframed: an answer has no length and ends with its connection.
	Unframed
	// UnframedCut: an answer has no length and is reset before its end.
	UnframedCut
	// Surplus: an engine sends bytes after a whole answer that belong to no request.
	Surplus
	// Garbage: an engine sends bytes that are no answer.
	Garbage
	// Trickle: an answer arrives in small pieces with pauses.
	Trickle
	// Close: a sound answer ends its connection.
	Close
	// Silence: all open connections of an engine go silent for good, while new ones work.
	Silence
	// LateOrder: an order gets no answer and is carried out later, if its condition holds then.
	LateOrder
	// OtherWriter: an entry in the list of engines comes from another writer and names no engine to use.
	OtherWriter
	// RouteAway: a configuration lacks a route for a time.
	RouteAway
	// Target: a caller sends a target of an unusual form: two slashes at its start, an encoded slash.
	Target
	// Chunked: a caller sends a body without a length, in chunks.
	Chunked
	// Refuse: an engine resets a new connection, as one beyond those that it takes.
	Refuse
	// GiveUp: a caller closes its connection before the answer.
	GiveUp
	// StoreSilence: all open connections of a machine to the store go silent for good, while new ones work.
	StoreSilence
	// BadHead: an engine sends an answer whose head is none by HTTP's grammar: its status, the name of a field, or what frames the body.
	BadHead
	kinds
)

var names = [kinds]string{
	"copy", "cut", "unframed", "unframed-cut", "surplus", "garbage", "trickle", "close", "silence", "late-order", "other-writer", "route-away", "target", "chunked", "refuse", "give-up", "store-silence",
	"bad-head",
}

// String returns the name by which a kind is chosen and reported.
func (k Kind) String() string {
	return names[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Parse returns the kinds that a comma-separated list names: "all" or "" for all, "none" for none.
func Parse(list string) ([]Kind, error) {
	switch list {
	case "", "all":
		return Kinds(), nil
	case "none":
		return nil, nil
	}
	var parsed []Kind
	for name := range strings.SplitSeq(list, ",") {
		index := slices.Index(names[:], name)
		if index < 0 {
			return nil, fmt.Errorf("no freedom is named %q", name)
		}
		parsed = append(parsed, Kind(index))
	}
	return parsed, nil
}

// rates are the shares of the occasions at which a kind is drawn: answers, connections, orders, entries, configurations, requests. Answers that
// fail an engine are rare, so that engines are not ejected by them.
var rates = [kinds]float64{
	Copy: 0.05, Cut: 0.01, Unframed: 0.03, UnframedCut: 0.01, Surplus: 0.02, Garbage: 0.005, Trickle: 0.05, Close: 0.02,
	Silence: 1, LateOrder: 0.2, OtherWriter: 1, RouteAway: 0.3, Target: 0.15, Chunked: 0.15, Refuse: 0.03, GiveUp: 0.03, StoreSilence: 0.5,
	BadHead: 0.01,
}

// Draws decides which freedoms are taken. It is safe for concurrent use. The nil *Draws takes none.
type Draws struct {
	mutex   sync.Mutex
	streams [kinds]*rand.Rand
	rates   [kinds]float64
	taken   [kinds]int
}

// New returns draws of a seed that take the given kinds alone.
func New(seed uint64, chosen []Kind) *Draws {
	d := &Draws{}
	for _, kind := range chosen {
		d.rates[kind] = rates[kind]
	}
	for kind := range kinds {
		d.streams[kind] = rand.New(rand.NewPCG(seed, uint64(kind)))
	}
	return d
}

// SetRate sets the share of the occasions at which a kind is drawn.
func (d *Draws) SetRate(kind Kind, rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rates[kind] = rate
}

// Has reports whether a kind may be drawn.
func (d *Draws) Has(kind Kind) bool {
	if d == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rates[kind] > 0
}

// Takes draws whether a kind is taken at an occasion, and counts it if it is.
func (d *Draws) Takes(kind Kind) bool {
	if d == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.streams[kind].Float64() >= d.rates[kind] {
		return false
	}
	d.taken[kind]++
	return true
}

// First returns the first of some kinds that is taken at an occasion, and false if none is.
func (d *Draws) First(of ...Kind) (Kind, bool) {
	for _, kind := range of {
		if d.Takes(kind) {
			return kind, true
		}
	}
	return 0, false
}

// Number draws a number from 0 to below most, which says how a kind is taken.
func (d *Draws) Number(kind Kind, most int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.streams[kind].IntN(most)
}

// Taken returns how often a kind was taken.
func (d *Draws) Taken(kind Kind) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.taken[kind]
}

// String returns how often each kind was taken, as it stands in reports.
func (d *Draws) String() string {
	if d == nil {
		return "no freedoms"
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var told []string
	for kind, count := range d.taken {
		if d.rates[kind] > 0 {
			told = append(told, fmt.Sprintf("%v %d", Kind(kind), count))
		}
	}
	return "freedoms: " + strings.Join(told, ", ")
}
