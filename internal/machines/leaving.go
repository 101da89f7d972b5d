package machines

import (
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/platform"
)

// FactSource spreads small facts to all nodes: a key with a version and a value, of which the highest version wins.
// Facts are hints; they arrive late and may be lost.
type FactSource interface {
	// SetFact publishes a fact; one that is not newer than the known version has no effect.
	SetFact(key string, version uint64, value []byte)
	// Fact returns the newest known version and value of a key.
	Fact(key string) (version uint64, value []byte, known bool)
	// FactsChanged returns a channel that is closed when any fact changes.
	FactsChanged() <-chan struct{}
}

// leavingFactPrefix starts the keys of the facts that tell whether a machine leaves.
const leavingFactPrefix = "leaving/"

// Values of a leaving fact.
const (
	factLeaving = "leaving"
	factLive    = "live"
)

// LeavingFactKey is the key of the fact that tells whether a machine leaves.
func LeavingFactKey(machine string) string {
	return leavingFactPrefix + machine
}

// Leaving tells whether any sign says that the machine leaves. A machine that was never listed is not leaving.
func (d *Directory) Leaving(id string) bool {
	if d.config.Mutations.Has(mutation.IgnoreLeaving) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	machine, known := d.listed[id]
	return d.leaving[id] || known && d.mergedLocked(machine).State == platform.MachineLeaving
}

// MarkLeaving records that the machine said itself that it leaves, and publishes it.
func (d *Directory) MarkLeaving(id string) {
	if d.setLeaving(id, true) {
		d.publish(id, factLeaving)
	}
}

// MarkLive takes back what MarkLeaving and the facts said, because the machine came back as a new process. It does not
// overrule the list.
func (d *Directory) MarkLive(id string) {
	if d.setLeaving(id, false) {
		d.publish(id, factLive)
	}
}

// setLeaving changes the local sign and tells whether it was a change.
func (d *Directory) setLeaving(id string, leaving bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.leaving[id] == leaving {
		return false
	}
	if leaving {
		d.leaving[id] = true
	} else {
		delete(d.leaving, id)
	}
	d.notifyLocked()
	return true
}

// publish spreads a word on a machine, unless the newest fact says the same already.
func (d *Directory) publish(id, word string) {
	if d.config.Facts == nil {
		return
	}
	key := LeavingFactKey(id)
	version, value, known := d.config.Facts.Fact(key)
	if known && string(value) == word {
		return
	}
	d.config.Facts.SetFact(key, version+1, []byte(word))
}

// mergeFacts takes over what the facts say of the listed machines.
func (d *Directory) mergeFacts() {
	if d.config.Facts == nil {
		return
	}
	for _, id := range d.listedIDs() {
		_, value, known := d.config.Facts.Fact(LeavingFactKey(id))
		if known {
			d.setLeaving(id, string(value) == factLeaving)
		}
	}
}

func (d *Directory) listedIDs() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ids := make([]string, 0, len(d.listed))
	for id := range d.listed {
		ids = append(ids, id)
	}
	return ids
}
