package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// ErrNoReplicas reports that no log line names a replica.
var ErrNoReplicas = errors.New("no log line comes with the name of its replica before it")

// State is the state of a replica as of its last line.
type State string

// States of replicas, the ones that need attention first.
const (
	// StateCutOff means that the replica lost a partition of the store or its group and has not regained it.
	StateCutOff State = "cut off"
	// StateTakeover means that the replica was assigned a partition of jobs that it does not run yet. Partitions of orders don't count:
	// if no pool of models has its orders in the partition, the owner has nothing to take over.
	StateTakeover State = "in takeover"
	// StateStarting means that the process has started and is not ready yet.
	StateStarting State = "starting"
	StateServing  State = "serving"
	// StateStopped means that the replica stopped as planned or is stopping.
	StateStopped State = "stopped"
)

// states are all states in the order of the table.
var states = []State{StateCutOff, StateTakeover, StateStarting, StateServing, StateStopped}

// Replica is the state of one replica according to its lines. Counts cover all lines, all other fields are as of the last line.
type Replica struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// Since is the start of the state, as far as the lines show.
	Since time.Time `json:"since"`
	// Last is the time of the replica's last line, SilentFor the time from there to the last line of the fleet.
	Last      time.Time     `json:"last"`
	SilentFor time.Duration `json:"quiet_ns"`
	Starts    int           `json:"starts"`
	// Configuration is the version in force, 0 if no line names it. VersionsBehind is its distance to the newest version of any
	// replica.
	Configuration  int64 `json:"configuration"`
	VersionsBehind int64 `json:"behind"`
	// Owned are the partitions that the replica runs, Gained those that were assigned to it and that it does not run yet.
	Owned  []string `json:"owned"`
	Gained []string `json:"gained"`
	// Lost are the partitions and groups of the store that the replica lost and has not regained, Losses is how many times it lost
	// any.
	Lost   []string `json:"lost"`
	Losses int      `json:"losses"`
	// OldestLoss is when the earliest of the lost ones was last known to be in sync, zero if nothing is lost or no line shows it.
	OldestLoss time.Time `json:"oldest_loss,omitzero"`
	// Settled counts the requests that the replica settled, Refused those of them that did not run.
	Settled int `json:"settled"`
	Refused int `json:"refused"`

	started, ready, stopped bool
	owned, gained           map[string]bool
	lost                    map[string]time.Time
	evacuated               map[string]EvacuatedZone
}

// EvacuatedZone is a zone that the operator evacuates.
type EvacuatedZone struct {
	Zone string `json:"zone"`
	// Since is when the first replica learned of it.
	Since time.Time `json:"since"`
	// Replicas is the number of running replicas that know of it, Runs what their lines last said to be left in the zone.
	Replicas int `json:"replicas"`
	Runs     int `json:"runs"`
}

// Fleet is the state of all replicas according to the lines.
type Fleet struct {
	// Replicas are in the order of their states. Within a state, those whose configuration is the furthest behind come first, then
	// those with the oldest loss.
	Replicas []*Replica `json:"replicas"`
	// Evacuated are the zones that are evacuated, by name.
	Evacuated []EvacuatedZone `json:"evacuated,omitempty"`
	// Last is the time of the last line.
	Last time.Time `json:"last"`
}

// jobsPrefix and homesPrefix are the prefixes of the names of job partitions, without and with homes.
const (
	jobsPrefix  = "jobs/"
	homesPrefix = "jobs-"
)

// outcomeNotRun is the outcome of refused requests.
const outcomeNotRun = "not_run"

// fleetMessageHandlers are the messages that affect the state of a replica, with the functions that apply them.
var fleetMessageHandlers = map[string]func(r *Replica, line Line){
	"started":                  (*Replica).recordStart,
	"ready":                    func(r *Replica, _ Line) { r.ready = true },
	"stopping":                 func(r *Replica, _ Line) { r.stopped = true },
	"stopped":                  func(r *Replica, _ Line) { r.stopped = true },
	"configuration in force":   (*Replica).recordConfiguration,
	"partition gained":         func(r *Replica, line Line) { r.gained[line.Fields["partition"]] = true },
	"partition taken over":     (*Replica).recordOwned,
	"order lease taken over":   (*Replica).recordOwned,
	"partition released":       (*Replica).recordReleased,
	"store partition lost":     func(r *Replica, line Line) { r.recordLoss(line.Fields["partition"], line, "confirmed_ago") },
	"group lost":               func(r *Replica, line Line) { r.recordLoss(line.Fields["group"], line, "heard_ago") },
	"store partition regained": func(r *Replica, line Line) { delete(r.lost, line.Fields["partition"]) },
	"group joined":             func(r *Replica, line Line) { delete(r.lost, line.Fields["group"]) },
	"group left":               func(r *Replica, line Line) { delete(r.lost, line.Fields["group"]) },
	"request settled":          (*Replica).recordSettled,

	"zone evacuated":                  (*Replica).recordEvacuation,
	"evacuated zone has runs left":    (*Replica).recordRunsLeft,
	"evacuated zone has no runs left": (*Replica).recordRunsLeft,
}

// fleetKeys are the keys that are read from these messages.
var fleetKeys = []string{"version", "partition", "group", "confirmed_ago", "heard_ago", "outcome", "zone", "evacuated", "runs"}

// ReadFleet reads the states of replicas from log lines that are prefixed with the name of their replica. It skips lines that are not
// log lines.
func ReadFleet(input io.Reader) (*Fleet, error) {
	fleet := &Fleet{}
	replicas := make(map[string]*Replica)
	lines, err := readLines(input, fleetKeys, func(head lineHead) bool {
		name := replicaOf(head.Source)
		if name == "" {
			return false
		}
		if replicas[name] == nil {
			replicas[name] = newReplica(name)
		}
		replicas[name].Last = later(replicas[name].Last, head.Time)
		fleet.Last = later(fleet.Last, head.Time)
		_, relevant := fleetMessageHandlers[head.Message]
		return relevant
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		replicas[replicaOf(line.Source)].apply(line)
	}
	fleet.Replicas = slices.Collect(maps.Values(replicas))
	fleet.finish()
	return fleet, nil
}

// replicaOf returns the replica's name from the text before a line: the last word, since a time may precede the name.
func replicaOf(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func newReplica(name string) *Replica {
	return &Replica{Name: name, State: StateServing, owned: make(map[string]bool), gained: make(map[string]bool), lost: make(map[string]time.Time), evacuated: make(map[string]EvacuatedZone)}
}

// apply updates the replica by the next line that affects its state.
func (r *Replica) apply(line Line) {
	fleetMessageHandlers[line.Message](r, line)
	if r.Since.IsZero() {
		r.Since = line.Time
	}
	if state := r.currentState(); state != r.State {
		r.State, r.Since = state, line.Time
	}
}

// currentState returns the state that follows from the lines applied so far.
func (r *Replica) currentState() State {
	switch {
	case r.stopped:
		return StateStopped
	case r.started && !r.ready:
		return StateStarting
	case len(r.lost) > 0:
		return StateCutOff
	case r.gainedJobs():
		return StateTakeover
	default:
		return StateServing
	}
}

// gainedJobs reports whether the replica was assigned a partition of jobs that it does not run yet.
func (r *Replica) gainedJobs() bool {
	for partition := range r.gained {
		if strings.HasPrefix(partition, jobsPrefix) || strings.HasPrefix(partition, homesPrefix) {
			return true
		}
	}
	return false
}

// recordStart records the start of a new process, which owns nothing yet.
func (r *Replica) recordStart(Line) {
	r.Starts++
	r.started, r.ready, r.stopped = true, false, false
	clear(r.owned)
	clear(r.gained)
	clear(r.lost)
	clear(r.evacuated)
}

func (r *Replica) recordConfiguration(line Line) {
	if version, err := strconv.ParseInt(line.Fields["version"], 10, 64); err == nil {
		r.Configuration = version
	}
}

func (r *Replica) recordOwned(line Line) {
	delete(r.gained, line.Fields["partition"])
	r.owned[line.Fields["partition"]] = true
}

func (r *Replica) recordReleased(line Line) {
	delete(r.gained, line.Fields["partition"])
	delete(r.owned, line.Fields["partition"])
}

// recordLoss records the loss of a partition or group of the store. ago is the key of the time since the partition or group was last
// known to be in sync.
func (r *Replica) recordLoss(name string, line Line, ago string) {
	r.Losses++
	var since time.Time
	if age, err := time.ParseDuration(line.Fields[ago]); err == nil {
		since = line.Time.Add(-age)
	}
	r.lost[name] = since
}

func (r *Replica) recordSettled(line Line) {
	r.Settled++
	if line.Fields["outcome"] == outcomeNotRun {
		r.Refused++
	}
}

// recordEvacuation records that the evacuation of a zone begins or ends.
func (r *Replica) recordEvacuation(line Line) {
	zone := line.Fields["zone"]
	if line.Fields["evacuated"] != "true" {
		delete(r.evacuated, zone)
		return
	}
	if _, known := r.evacuated[zone]; !known {
		r.evacuated[zone] = EvacuatedZone{Zone: zone, Since: line.Time}
	}
	r.recordRunsLeft(line)
}

// recordRunsLeft records how many runs the replica has in an evacuated zone. Lines that state no number mean none.
func (r *Replica) recordRunsLeft(line Line) {
	if zone, known := r.evacuated[line.Fields["zone"]]; known {
		zone.Runs, _ = strconv.Atoi(line.Fields["runs"])
		r.evacuated[zone.Zone] = zone
	}
}

// evacuatedZones returns the zones that running replicas know to be evacuated, by name.
func (f *Fleet) evacuatedZones() []EvacuatedZone {
	zones := make(map[string]EvacuatedZone)
	for _, replica := range f.Replicas {
		if replica.State == StateStopped {
			continue
		}
		for name, evacuated := range replica.evacuated {
			total, known := zones[name]
			if !known || evacuated.Since.Before(total.Since) {
				total.Since = evacuated.Since
			}
			total.Zone = name
			total.Replicas++
			total.Runs += evacuated.Runs
			zones[name] = total
		}
	}
	var sorted []EvacuatedZone
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		sorted = append(sorted, zones[name])
	}
	return sorted
}

// finish sets the fields that depend on the lines of all replicas, and sorts the replicas.
func (f *Fleet) finish() {
	f.Evacuated = f.evacuatedZones()
	newest := int64(0)
	for _, replica := range f.Replicas {
		newest = max(newest, replica.Configuration)
	}
	for _, replica := range f.Replicas {
		replica.SilentFor = f.Last.Sub(replica.Last)
		replica.VersionsBehind = newest - replica.Configuration
		replica.Owned = slices.Sorted(maps.Keys(replica.owned))
		replica.Gained = slices.Sorted(maps.Keys(replica.gained))
		replica.Lost = slices.Sorted(maps.Keys(replica.lost))
		for _, since := range replica.lost {
			if !since.IsZero() && (replica.OldestLoss.IsZero() || since.Before(replica.OldestLoss)) {
				replica.OldestLoss = since
			}
		}
	}
	slices.SortFunc(f.Replicas, func(a, b *Replica) int {
		return cmp.Or(
			cmp.Compare(slices.Index(states, a.State), slices.Index(states, b.State)), cmp.Compare(b.VersionsBehind, a.VersionsBehind),
			compareLosses(a.OldestLoss, b.OldestLoss), strings.Compare(a.Name, b.Name),
		)
	})
}

// compareLosses orders times of losses, unknown ones last.
func compareLosses(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		return cmp.Compare(unknownLast(a), unknownLast(b))
	}
	return a.Compare(b)
}

func unknownLast(moment time.Time) int {
	if moment.IsZero() {
		return 1
	}
	return 0
}

// configurations lists how many replicas have each configuration, the oldest version first.
func (f *Fleet) configurations() string {
	counts := make(map[int64]int)
	for _, replica := range f.Replicas {
		counts[replica.Configuration]++
	}
	var parts []string
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d at %d", version, counts[version]))
	}
	return strings.Join(parts, ", ")
}

// maxRowsPerState limits the replicas of one state in the table: if hundreds lose the store together, a few rows show what
// happened.
const maxRowsPerState = 20

// WriteFleet prints how many replicas are in each state and have each configuration, and a row for each replica that needs attention:
// it is not serving, owns a partition, has an old configuration or refused requests. It prints the first maxRowsPerState replicas
// of each state and counts the others.
func (f *Fleet) WriteFleet(output io.Writer) error {
	if len(f.Replicas) == 0 {
		return ErrNoReplicas
	}
	counts := make(map[State]int)
	for _, replica := range f.Replicas {
		counts[replica.State]++
	}
	var summary []string
	for _, state := range states {
		summary = append(summary, fmt.Sprintf("%d %s", counts[state], state))
	}
	if _, err := fmt.Fprintf(output, "%d replicas: %s\n", len(f.Replicas), strings.Join(summary, ", ")); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(output, "configurations: %s\n", f.configurations()); err != nil {
		return err
	}
	for _, zone := range f.Evacuated {
		if _, err := fmt.Fprintf(output, "evacuated: %s for %s s, known to %d replicas, %d runs left there\n", zone.Zone,
			seconds(f.Last.Sub(zone.Since)), zone.Replicas, zone.Runs); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "replica\tstate\tfor\tquiet\tstarts\tconfiguration\tsettled\trefused\tlosses\toldest loss\tlost\tgained\towned")
	listed := make(map[State]int)
	for _, replica := range f.Replicas {
		if replica.routine() {
			continue
		}
		listed[replica.State]++
		if listed[replica.State] > maxRowsPerState {
			continue
		}
		configuration := strconv.FormatInt(replica.Configuration, 10)
		if replica.VersionsBehind > 0 {
			configuration += fmt.Sprintf(" (%d behind)", replica.VersionsBehind)
		}
		oldest := "-"
		if !replica.OldestLoss.IsZero() {
			oldest = seconds(f.Last.Sub(replica.OldestLoss)) + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", replica.Name, replica.State,
			seconds(f.Last.Sub(replica.Since)), seconds(replica.SilentFor), replica.Starts, configuration, replica.Settled,
			replica.Refused, replica.Losses, oldest, list(replica.Lost), list(replica.Gained), list(replica.Owned))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, state := range states {
		if omitted := listed[state] - maxRowsPerState; omitted > 0 {
			if _, err := fmt.Fprintf(output, "and %d more %s\n", omitted, state); err != nil {
				return err
			}
		}
	}
	return nil
}

// routine reports whether the replica needs no row of its own: it is serving, owns no partition, has the newest configuration and
// refused no request.
func (r *Replica) routine() bool {
	return r.State == StateServing && len(r.Owned) == 0 && r.VersionsBehind == 0 && r.Refused == 0
}

// list joins names by spaces, or returns a dash if there are none.
func list(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, " ")
}
