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

// ErrNoReplicas says that log lines name no replica.
var ErrNoReplicas = errors.New("no log line comes with the name of its replica before it")

// State is how a replica stood at its last line.
type State string

// States of replicas, the ones that want a look first.
const (
	// StateCutOff has lost a partition of the store or its group and has not regained it.
	StateCutOff State = "cut off"
	// StateTakeover was dealt a partition of jobs that it does not run yet. One of orders doesn't count: where no pool of models has
	// its orders in it, its owner has nothing to take over.
	StateTakeover State = "in takeover"
	// StateStarting was started and is not ready yet.
	StateStarting State = "starting"
	StateServing  State = "serving"
	// StateStopped ended as planned, or was on its way to.
	StateStopped State = "stopped"
)

// states are all of them in the order of the table.
var states = []State{StateCutOff, StateTakeover, StateStarting, StateServing, StateStopped}

// Replica is what the lines of one replica tell of it. Counts are over all lines, all else is as of the last one.
type Replica struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// Since is when the state began, as far as lines tell.
	Since time.Time `json:"since"`
	// Last is when the replica wrote its last line, Quiet how long before the last line of all that was.
	Last   time.Time     `json:"last"`
	Quiet  time.Duration `json:"quiet_ns"`
	Starts int           `json:"starts"`
	// Configuration is the version in force, 0 if no line tells, Behind how many older that is than the newest at any replica.
	Configuration int64 `json:"configuration"`
	Behind        int64 `json:"behind"`
	// Owned are the partitions that it works on, Gained those that it was dealt and does not work on yet.
	Owned  []string `json:"owned"`
	Gained []string `json:"gained"`
	// Lost are the partitions and groups of the store that it has lost and not regained, Losses how often it lost any.
	Lost   []string `json:"lost"`
	Losses int      `json:"losses"`
	// OldestLoss is when the first of those was last known to be in step, zero if nothing is lost or no line tells.
	OldestLoss time.Time `json:"oldest_loss,omitzero"`
	// Settled counts the requests that it settled, Refused those of them that had not run.
	Settled int `json:"settled"`
	Refused int `json:"refused"`

	started, ready, stopped bool
	owned, gained           map[string]bool
	lost                    map[string]time.Time
}

// Fleet is what lines tell of all replicas.
type Fleet struct {
	// Replicas are in the order of their states; in each the ones that are furthest behind with the configuration come first, then those that
	// lost something of the store the longest ago.
	Replicas []*Replica `json:"replicas"`
	// Last is the time of the last line.
	Last time.Time `json:"last"`
}

// jobsPrefix begins the names of partitions of jobs.
const jobsPrefix = "jobs/"

// outcomeNotRun is the outcome of requests that were refused.
const outcomeNotRun = "not_run"

// fleetMessages are the messages that tell how a replica stands.
var fleetMessages = map[string]func(r *Replica, line Line){
	"started":                  (*Replica).start,
	"ready":                    func(r *Replica, _ Line) { r.ready = true },
	"stopping":                 func(r *Replica, _ Line) { r.stopped = true },
	"stopped":                  func(r *Replica, _ Line) { r.stopped = true },
	"configuration in force":   (*Replica).configure,
	"partition gained":         func(r *Replica, line Line) { r.gained[line.Fields["partition"]] = true },
	"partition taken over":     (*Replica).own,
	"order lease taken over":   (*Replica).own,
	"partition released":       (*Replica).release,
	"store partition lost":     func(r *Replica, line Line) { r.lose(line.Fields["partition"], line, "confirmed_ago") },
	"group lost":               func(r *Replica, line Line) { r.lose(line.Fields["group"], line, "heard_ago") },
	"store partition regained": func(r *Replica, line Line) { delete(r.lost, line.Fields["partition"]) },
	"group joined":             func(r *Replica, line Line) { delete(r.lost, line.Fields["group"]) },
	"request settled":          (*Replica).settle,
}

// fleetKeys are the keys that are read of them.
var fleetKeys = []string{"version", "partition", "group", "confirmed_ago", "heard_ago", "outcome"}

// ReadFleet reads how replicas stand from log lines, each with its replica's name before it. Lines that are no log lines are passed
// over.
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
		_, tells := fleetMessages[head.Message]
		return tells
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		replicas[replicaOf(line.Source)].take(line)
	}
	fleet.Replicas = slices.Collect(maps.Values(replicas))
	fleet.finish()
	return fleet, nil
}

// replicaOf returns the name before a line: the last word, since a time may stand before it.
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
	return &Replica{Name: name, State: StateServing, owned: make(map[string]bool), gained: make(map[string]bool), lost: make(map[string]time.Time)}
}

// take takes the next line that tells how the replica stands.
func (r *Replica) take(line Line) {
	fleetMessages[line.Message](r, line)
	if r.Since.IsZero() {
		r.Since = line.Time
	}
	if state := r.state(); state != r.State {
		r.State, r.Since = state, line.Time
	}
}

// state returns how the replica stands by what was taken.
func (r *Replica) state() State {
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

// gainedJobs tells whether the replica was dealt a partition of jobs that it does not run yet.
func (r *Replica) gainedJobs() bool {
	for partition := range r.gained {
		if strings.HasPrefix(partition, jobsPrefix) {
			return true
		}
	}
	return false
}

// start takes that a new process began: it holds nothing yet.
func (r *Replica) start(Line) {
	r.Starts++
	r.started, r.ready, r.stopped = true, false, false
	clear(r.owned)
	clear(r.gained)
	clear(r.lost)
}

func (r *Replica) configure(line Line) {
	if version, err := strconv.ParseInt(line.Fields["version"], 10, 64); err == nil {
		r.Configuration = version
	}
}

func (r *Replica) own(line Line) {
	delete(r.gained, line.Fields["partition"])
	r.owned[line.Fields["partition"]] = true
}

func (r *Replica) release(line Line) {
	delete(r.gained, line.Fields["partition"])
	delete(r.owned, line.Fields["partition"])
}

// lose takes that something of the store was lost; ago is the key that says how long before it was last in step.
func (r *Replica) lose(name string, line Line, ago string) {
	r.Losses++
	var since time.Time
	if age, err := time.ParseDuration(line.Fields[ago]); err == nil {
		since = line.Time.Add(-age)
	}
	r.lost[name] = since
}

func (r *Replica) settle(line Line) {
	r.Settled++
	if line.Fields["outcome"] == outcomeNotRun {
		r.Refused++
	}
}

// finish works out what only all lines together tell.
func (f *Fleet) finish() {
	newest := int64(0)
	for _, replica := range f.Replicas {
		newest = max(newest, replica.Configuration)
	}
	for _, replica := range f.Replicas {
		replica.Quiet = f.Last.Sub(replica.Last)
		replica.Behind = newest - replica.Configuration
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
			cmp.Compare(slices.Index(states, a.State), slices.Index(states, b.State)), cmp.Compare(b.Behind, a.Behind),
			compareLosses(a.OldestLoss, b.OldestLoss), strings.Compare(a.Name, b.Name),
		)
	})
}

// compareLosses orders moments of losses, those that are not known last.
func compareLosses(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		return cmp.Compare(unknown(a), unknown(b))
	}
	return a.Compare(b)
}

func unknown(moment time.Time) int {
	if moment.IsZero() {
		return 1
	}
	return 0
}

// configurations tells how many replicas have each configuration, the oldest first.
func (f *Fleet) configurations() string {
	counts := make(map[int64]int)
	for _, replica := range f.Replicas {
		counts[replica.Configuration]++
	}
	var told []string
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		told = append(told, fmt.Sprintf("%d at %d", version, counts[version]))
	}
	return strings.Join(told, ", ")
}

// rowsMost is how many replicas of one state the table lists: of hundreds that lost the store together a few tell what happened.
const rowsMost = 20

// WriteFleet prints how many replicas are in each state and have each configuration, and a line for those that are not plainly serving: they
// are in another state, own a partition, are behind with the configuration, or have refused requests. Of each state it lists the first
// rowsMost and counts the others.
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
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "replica\tstate\tfor\tquiet\tstarts\tconfiguration\tsettled\trefused\tlosses\toldest loss\tlost\tgained\towned")
	listed := make(map[State]int)
	for _, replica := range f.Replicas {
		if replica.plain() {
			continue
		}
		listed[replica.State]++
		if listed[replica.State] > rowsMost {
			continue
		}
		configuration := strconv.FormatInt(replica.Configuration, 10)
		if replica.Behind > 0 {
			configuration += fmt.Sprintf(" (%d behind)", replica.Behind)
		}
		oldest := "-"
		if !replica.OldestLoss.IsZero() {
			oldest = seconds(f.Last.Sub(replica.OldestLoss)) + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", replica.Name, replica.State,
			seconds(f.Last.Sub(replica.Since)), seconds(replica.Quiet), replica.Starts, configuration, replica.Settled,
			replica.Refused, replica.Losses, oldest, list(replica.Lost), list(replica.Gained), list(replica.Owned))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, state := range states {
		if more := listed[state] - rowsMost; more > 0 {
			if _, err := fmt.Fprintf(output, "and %d more %s\n", more, state); err != nil {
				return err
			}
		}
	}
	return nil
}

// plain tells whether nothing of the replica wants a look.
func (r *Replica) plain() bool {
	return r.State == StateServing && len(r.Owned) == 0 && r.Behind == 0 && r.Refused == 0
}

// list prints names, or a dash for none.
func list(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, " ")
}
