// Package weightroll brings the engines of a pool to the weight versions that trainers publish. One process at a time,
// the owner of the pool's partition, sends load orders to the engines of a pool. Each order is announced in the store
// before it is sent, fenced by the owner's epoch, and is sent only within a short window after that. A successor, whose
// epoch prevents further announcements of its predecessor, waits until a whole lease has passed since the last order
// that may have been sent. So no engine receives orders of two holders within one lease, regardless of clock
// differences, pauses and lost responses. A holder is a machine: a process that restarts on the machine of its
// predecessor continues at once, since the earlier process has ended and all its connections are closed.
package weightroll

import "time"

//go:generate go tool msgp -tests=false

// Announcement is the record of an engine's newest order.
type Announcement struct {
	EngineID string `msg:"engine"`
	Pool     string `msg:"pool"`
	Model    string `msg:"model"`
	Version  int64  `msg:"version"`
	// Epoch is the epoch of the owner that ordered, Holder the machine it ran on.
	Epoch  int64  `msg:"epoch"`
	Holder string `msg:"holder"`
	// Serving means that the engine was observed to serve the version.
	Serving bool `msg:"serving"`
	// Written and Ordered are times on the owner's monotonic clock since it acquired its epoch: when this record, and
	// when the record of the order, was about to be written; 0 if unknown. The interval between records of one owner
	// can be derived from them by any reader at any time.
	Written time.Duration `msg:"written"`
	Ordered time.Duration `msg:"ordered"`
	// Together is how many engines of the pool may load concurrently, so that the next owner need not determine it
	// again.
	Together int `msg:"together"`
}

// AssignmentRecord is the record of the model that each engine of a pool is assigned to.
type AssignmentRecord struct {
	Pool string `msg:"pool"`
	// Models lists each model once; Engines maps engine ids to indexes into Models.
	Models  []string       `msg:"models"`
	Engines map[string]int `msg:"engines"`
}

// assignmentKeyPrefix is the key prefix of assignment records, followed by the pool's name. No engine id starts with
// it.
const assignmentKeyPrefix = "deal/"

// newAssignmentRecord returns the record of an assignment.
func newAssignmentRecord(pool string, assignment Assignment) AssignmentRecord {
	record := AssignmentRecord{Pool: pool, Engines: make(map[string]int, len(assignment))}
	indexes := make(map[string]int)
	for id, model := range assignment {
		index, known := indexes[model]
		if !known {
			index = len(record.Models)
			indexes[model] = index
			record.Models = append(record.Models, model)
		}
		record.Engines[id] = index
	}
	return record
}

// assignment returns the assignment in the record. Engines with an index outside Models are omitted.
func (r AssignmentRecord) assignment() Assignment {
	assignment := make(Assignment, len(r.Engines))
	for id, index := range r.Engines {
		if index >= 0 && index < len(r.Models) {
			assignment[id] = r.Models[index]
		}
	}
	return assignment
}
