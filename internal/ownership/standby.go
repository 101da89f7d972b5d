package ownership

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// lookInterval is the time between two looks of a machine that stands by: a partition that lost all members that could take it
	// waits so much longer for an owner. All replicas of 400 make 400 reads a second by it, some percent of what a store takes.
	lookInterval = time.Second
	// lookSpread is the part of an interval by which looks vary, so that machines started together don't look together.
	lookSpread = 0.1
	// doubtInterval is the time between looks while a partition has no owner, or the last look failed.
	doubtInterval = 300 * time.Millisecond
	// unownedFor is how long some partitions have to be without an owner, while others have one, before a machine joins for them: the
	// members take what a leaving one held with their next join.
	unownedFor = 250 * time.Millisecond
	// startPatience is how long a machine that has just started waits for larger ones to join that are starting with it.
	startPatience = 2 * time.Second
	// returnPatience is how long a machine that has stood by leaves the partitions to too few larger ones: longer than one of these is
	// away when it is restarted in its place, its stop included.
	returnPatience = 10 * time.Second
	// A member leaves once larger ones have had room for all partitions for so long: one that holds none is not missed, one that
	// holds some makes runs move, which is not to happen for machines that come and go. leaveSpread keeps members from leaving in
	// one moment, which would pass partitions on from one leaving member to the next.
	leaveIdleAfter    = time.Second
	leaveHoldingAfter = 3 * time.Second
	leaveSpread       = time.Second
	// attentiveFor is how long a member goes on looking after the group has changed: a larger member that finds nothing dealt to it asks
	// after its own first look.
	attentiveFor = 5 * time.Second
	// attentiveInterval is the time between looks in that time: members of 300 equal machines make 300 reads a second together then.
	attentiveInterval = 2 * time.Second
	// calmInterval is the time between looks of a member while the group doesn't change.
	calmInterval = 15 * time.Second
	// askLifetime is how long a member that asks for partitions is seen after its last call; it calls with each look.
	askLifetime = 4 * time.Second
	// askingSuffix names the group of those members of a group that hold no partition and ask for some.
	askingSuffix = "-asking"
	// sharePrecision is how many parts of a core shares are rounded to, so that equal machines are seen as equal.
	sharePrecision = 1000
	// shareMark parts a member's name from its share of a processor.
	shareMark = "/"
)

// rounded returns a share as members compare it.
func rounded(share float64) float64 {
	return math.Round(share*sharePrecision) / sharePrecision
}

// memberName names a machine with a share as a member, so that the list of owners tells anyone how large they are. A machine of unknown
// share keeps its plain name.
func memberName(machine string, share float64) string {
	if share <= 0 {
		return machine
	}
	return machine + shareMark + strconv.FormatFloat(share, 'g', -1, 64)
}

// shareOf returns the share that a member's name tells, 0 if it tells none.
func shareOf(member string) float64 {
	at := strings.LastIndex(member, shareMark)
	if at < 0 {
		return 0
	}
	share, err := strconv.ParseFloat(member[at+len(shareMark):], 64)
	if err != nil || share < 0 {
		return 0
	}
	return share
}

// sight is what a look at the group shows.
type sight struct {
	members []policy.GroupMember
	// unowned is how many partitions nobody holds; all tells that this is so for each.
	unowned int
	all     bool
	// listed tells that the machine's own name is among the owners.
	listed bool
	// larger is what the members larger than the machine have of a processor, all together.
	larger float64
	// dispensable tells that the machine may stand by.
	dispensable bool
}

// look lists the owners and, unless they show already whether the machine has to take part, the members that ask.
func (m *Manager) look(ctx context.Context) (sight, error) {
	owners, err := m.config.Log.Owners(ctx, m.config.Group)
	if err != nil {
		return sight{}, err
	}
	held := make(map[string]int)
	for _, owner := range owners {
		held[owner.Member]++
	}
	seen := m.see(held)
	if seen.unowned > 0 || seen.dispensable {
		return seen, nil
	}
	asking, err := m.config.Log.Owners(ctx, m.config.Group+askingSuffix)
	if err != nil {
		return sight{}, err
	}
	for _, owner := range asking {
		if _, holds := held[owner.Member]; !holds {
			held[owner.Member] = 0
		}
	}
	return m.see(held), nil
}

// see judges members by how many partitions they hold.
func (m *Manager) see(held map[string]int) sight {
	partitions := 0
	for _, topic := range m.config.Topics {
		partitions += m.config.Log.Partitions(topic)
	}
	var seen sight
	for name, count := range held {
		member := policy.GroupMember{Share: shareOf(name), Partitions: count}
		seen.members = append(seen.members, member)
		if member.Share > m.config.Share {
			seen.larger += member.Share
		}
		seen.listed = seen.listed || name == m.member && count > 0
	}
	seen.unowned = policy.Unowned(seen.members, partitions)
	seen.all = seen.unowned == partitions
	seen.dispensable = policy.StandsBy(seen.members, partitions, m.config.Share)
	return seen
}

// standBy waits until the machine has to take part in the group, and returns false if the context ended before. A machine that was just
// started and is among the owners still takes part at once: nobody else serves what its predecessor held.
func (m *Manager) standBy(ctx context.Context, started bool) bool {
	if m.config.Share <= 0 {
		return ctx.Err() == nil
	}
	w := wait{patience: returnPatience, retry: doubtInterval}
	if started {
		w.patience, w.retry = startPatience, m.config.Lifetime/joinsPerLifetime
	}
	for ctx.Err() == nil {
		seen, err := m.look(ctx)
		switch {
		case err != nil:
			// While the store is away, or refuses calls for being too many, joins are answered as little as looks are. Machines
			// that join blindly would all be members when it is back, before they have seen that the larger ones still are.
			w.interval = w.retry
		case started && seen.listed, w.over(seen):
			m.config.Logger.Info("taking part", "group", m.config.Group, "share", m.config.Share, "larger", seen.larger,
				"unowned", seen.unowned, "listed", seen.listed)
			return true
		case !w.announced && seen.dispensable:
			w.announced = true
			m.config.Logger.Info("standing by", "group", m.config.Group, "share", m.config.Share, "larger", seen.larger)
		}
		if !pause.For(ctx, spread(w.interval)) {
			return false
		}
	}
	return false
}

// wait is the time for which a machine stands by.
type wait struct {
	// patience is how long too few larger members are left alone with the partitions.
	patience time.Duration
	// retry is the time until the next look after one that failed: as between joins for a machine that has just started, which may be
	// needed as soon as the store is back.
	retry     time.Duration
	announced bool
	// interval is the time until the next look.
	interval time.Duration
	// unowned is since when partitions have had no owner, needed since when the larger members have had too little of a processor; zero
	// where it is not so.
	unowned, needed time.Time
}

// over tells whether the machine has to take part, by what it sees. One that sees no larger machine does so at once.
func (w *wait) over(seen sight) bool {
	w.interval = lookInterval
	if seen.unowned > 0 {
		w.interval = doubtInterval
	}
	if seen.dispensable {
		w.patience, w.retry = returnPatience, doubtInterval
	}
	missing := lasts(&w.unowned, seen.unowned > 0, unownedFor)
	needed := lasts(&w.needed, seen.unowned == 0 && !seen.dispensable, w.patience)
	largest := seen.larger == 0 && !seen.dispensable
	return seen.all || missing || needed || largest
}

// lasts keeps since when something has been so, and tells whether that is long enough.
func lasts(since *time.Time, so bool, enough time.Duration) bool {
	if !so {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = time.Now()
	}
	return time.Since(*since) >= enough
}

func spread(interval time.Duration) time.Duration {
	return time.Duration((1 - lookSpread + 2*lookSpread*rand.Float64()) * float64(interval))
}

// watch looks at the group while the machine is a member, and returns true once larger members have had room for all partitions for some
// time; false if the context ended. A member that holds nothing while smaller ones do asks for partitions all the while.
func (m *Manager) watch(ctx context.Context) bool {
	asking := asker{manager: m}
	defer asking.end()
	later := rand.N(leaveSpread)
	changed := time.Now()
	var roomy time.Time
	for {
		interval := calmInterval
		switch {
		case !roomy.IsZero() || asking.active:
			interval = lookInterval
		case time.Since(changed) < attentiveFor:
			interval = attentiveInterval
		}
		news, ok := m.await(ctx, spread(interval))
		if !ok {
			return false
		}
		if news {
			changed = time.Now()
		}
		seen, err := m.look(ctx)
		if err != nil {
			roomy = time.Time{}
			changed = time.Now()
			continue
		}
		enough := leaveIdleAfter
		if m.Holds() {
			enough = leaveHoldingAfter
		}
		if lasts(&roomy, seen.dispensable, enough+later) {
			m.config.Logger.Info("leaving partitions to larger members", "group", m.config.Group, "share", m.config.Share, "larger", seen.larger,
				"held", m.count.Load())
			return true
		}
		asking.update(ctx, !m.Holds() && policy.AsksFor(seen.members, m.config.Share))
	}
}

// await waits until the group has changed, at most for an interval, and tells whether it has; ok is false if the context ended.
// Changes that follow each other closely are looked at together, and members don't look together.
func (m *Manager) await(ctx context.Context, interval time.Duration) (changed, ok bool) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-m.changed:
		return true, pause.For(ctx, min(interval, attentiveInterval/2+rand.N(attentiveInterval)))
	case <-timer.C:
		return false, true
	case <-ctx.Done():
		return false, false
	}
}

// asker keeps a member among those that ask for partitions.
type asker struct {
	manager    *Manager
	active     bool
	generation int64
}

func (a *asker) update(ctx context.Context, wanted bool) {
	if !wanted {
		a.end()
		return
	}
	config := &a.manager.config
	if !a.active {
		a.active = true
		config.Logger.Info("asking for partitions", "group", config.Group, "share", config.Share)
	}
	membership, err := config.Log.Join(ctx, keyedlog.JoinRequest{
		Group: config.Group + askingSuffix, Member: a.manager.member, Topics: config.Topics, Lifetime: max(askLifetime, config.Lifetime),
		Generation: a.generation,
	})
	if err != nil {
		errorlog.Debug(config.Logger, "not asked for partitions", err, "group", config.Group)
		return
	}
	a.generation = membership.Generation
}

func (a *asker) end() {
	if !a.active {
		return
	}
	a.active = false
	config := &a.manager.config
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := config.Log.Leave(ctx, config.Group+askingSuffix, a.manager.member); err != nil {
		errorlog.Debug(config.Logger, "still among those that ask", err, "group", config.Group)
	}
}
