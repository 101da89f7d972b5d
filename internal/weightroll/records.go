// Package weightroll brings the engines of a pool to the weight versions that trainers name. One process at a time orders
// the engines of a pool. Each order is announced in the store before it is sent, under the fence of the owner's epoch, and is
// sent only within a short window after that; a successor, whose epoch ends all announcements of its predecessor, waits
// until a whole lease has gone by since the last order that may have been sent. So an engine never hears two order givers
// within one lease, whatever clocks, pauses and lost answers do. An order giver is a machine: a process that was started again on
// the machine of its predecessor goes on at once, since the one before is gone with all its connections.
package weightroll

import "time"

//go:generate go tool msgp -tests=false

// Announcement is the record of an engine's newest order.
type Announcement struct {
	EngineID string `msg:"engine"`
	Pool     string `msg:"pool"`
	Model    string `msg:"model"`
	Version  int64  `msg:"version"`
	// Epoch is that of the owner who ordered, Holder the machine that it ran on.
	Epoch  int64  `msg:"epoch"`
	Holder string `msg:"holder"`
	// Serving says that the engine has been seen to serve the version.
	Serving bool `msg:"serving"`
	// Written and Ordered are by the owner's steady clock since it had its epoch: when the record was about to be written, and when that of the
	// order was; 0 if unknown. Whoever reads them, and when, records of one owner tell by them how far apart they are.
	Written time.Duration `msg:"written"`
	Ordered time.Duration `msg:"ordered"`
	// Together is how many engines of the pool might load at once, so that the next order giver need not find out anew.
	Together int `msg:"together"`
}

// Dealing is the record of which model each engine of a pool is kept up to date for.
type Dealing struct {
	Pool string `msg:"pool"`
	// Models are named once; Engines maps the ids of engines to places among them.
	Models  []string       `msg:"models"`
	Engines map[string]int `msg:"engines"`
}

// dealingKey begins the keys of dealings; the pool's name follows. No engine's id begins so.
const dealingKey = "deal/"

// newDealing returns the record of an assignment.
func newDealing(pool string, assignment Assignment) Dealing {
	dealing := Dealing{Pool: pool, Engines: make(map[string]int, len(assignment))}
	places := make(map[string]int)
	for id, model := range assignment {
		place, known := places[model]
		if !known {
			place = len(dealing.Models)
			places[model] = place
			dealing.Models = append(dealing.Models, model)
		}
		dealing.Engines[id] = place
	}
	return dealing
}

// assignment returns what the record says. Places that name no model are left out.
func (d Dealing) assignment() Assignment {
	assignment := make(Assignment, len(d.Engines))
	for id, place := range d.Engines {
		if place >= 0 && place < len(d.Models) {
			assignment[id] = d.Models[place]
		}
	}
	return assignment
}
