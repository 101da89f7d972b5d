package machines

import (
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/platform"
)

// FactSource distributes small facts to all nodes: a key with a version and a value, of which the highest version wins. Facts are
// hints; they may arrive late or be lost.
type FactSource interface {
	// SetFact publishes a fact; it has no effect if the version is not newer than the known one.
	SetFact(key string, version uint64, value []byte)
	// Fact returns the newest known version and value of a key.
	Fact(key string) (version uint64, value []byte, known bool)
	// FactsChanged returns a channel that is closed when any fact changes.
	FactsChanged() <-chan struct{}
}

// leavingFactPrefix is the prefix of the keys of the facts that state whether a machine is leaving.
const leavingFactPrefix = "leaving/"

// Values of a leaving fact.
const (
	factLeaving = "leaving"
	factLive    = "live"
)

// LeavingFactKey returns the key of the fact that states whether a machine is leaving.
func LeavingFactKey(machine string) string {
	return leavingFactPrefix + machine
}

// Leaving reports whether the list, a fact or this process says that the machine is leaving. A machine that was never listed is
// leaving only if a fact or this process marked it.
func (d *Directory) Leaving(id string) bool {
	if d.config.Mutations.Has(mutation.IgnoreLeaving) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	machine, known := d.listed[id]
	return d.leaving[id] || known && d.mergedLocked(machine).State == platform.MachineLeaving
}

// MarkLeaving records that the machine itself announced that it is leaving, and publishes a fact about it.
func (d *Directory) MarkLeaving(id string) {
	if d.setLeaving(id, true) {
		d.publish(id, factLeaving)
	}
}

// MarkLive undoes MarkLeaving and leaving facts after the machine came back as a new process, and publishes a fact about it. It
// does not override the list.
func (d *Directory) MarkLive(id string) {
	if d.setLeaving(id, false) {
		d.publish(id, factLive)
	}
}

// setLeaving sets the local mark of a machine and reports whether it changed.
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

// publish publishes the state of a machine as a fact, unless the newest fact already has that value.
func (d *Directory) publish(id, state string) {
	if d.config.Facts == nil {
		return
	}
	key := LeavingFactKey(id)
	version, value, known := d.config.Facts.Fact(key)
	if known && string(value) == state {
		return
	}
	d.config.Facts.SetFact(key, version+1, []byte(state))
}

// mergeFacts applies the facts about the listed machines to the local marks.
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
