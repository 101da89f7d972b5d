package memorylog

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// group deals partitions to members. A partition that is dealt to another member passes on once its holder has joined with
// the generation that took it away, has left, or has been silent for its lifetime. The partitions of a topic are dealt among the members that
// name it.
type group struct {
	generation int64
	members    map[string]*member
	// dealt maps partitions to the member that is to hold them, held to the one that does.
	dealt map[keyedlog.Partition]string
	held  map[keyedlog.Partition]string
}

type member struct {
	heard    time.Time
	lifetime time.Duration
	topics   []keyedlog.Topic
	// generation is the newest that the member has named.
	generation int64
}

// Join joins a group or remains in it.
func (v *view) Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Membership, error) {
	lost, late, err := v.meet(ctx, Call{Operation: "join"})
	if err != nil {
		return keyedlog.Membership{}, err
	}
	if late {
		return keyedlog.Membership{}, ErrLost
	}
	v.store.mutex.Lock()
	defer v.store.mutex.Unlock()
	found := v.store.group(request)
	found.expire(time.Now())
	known, ok := found.members[request.Member]
	if !ok {
		known = &member{}
		found.members[request.Member] = known
	}
	known.heard, known.lifetime, known.topics, known.generation = time.Now(), request.Lifetime, request.Topics, request.Generation
	if !ok {
		found.deal(v)
	}
	found.pass()
	if lost {
		return keyedlog.Membership{}, ErrLost
	}
	membership := keyedlog.Membership{Generation: found.generation}
	for name, holder := range found.held {
		if holder == request.Member && found.dealt[name] == request.Member {
			membership.Partitions = append(membership.Partitions, name)
		}
	}
	return membership, nil
}

// Leave leaves a group at once.
func (v *view) Leave(ctx context.Context, name, memberName string) error {
	if _, _, err := v.meet(ctx, Call{Operation: "leave"}); err != nil {
		return err
	}
	v.store.mutex.Lock()
	defer v.store.mutex.Unlock()
	if found, ok := v.store.groups[name]; ok {
		delete(found.members, memberName)
		found.deal(v)
		found.pass()
	}
	return nil
}

// Owners lists who holds the partitions of a group. A member that was silent for its lifetime holds none any more, whether or not
// there is another to take them.
func (v *view) Owners(ctx context.Context, name string) ([]keyedlog.Owner, error) {
	if _, _, err := v.meet(ctx, Call{Operation: "owners"}); err != nil {
		return nil, err
	}
	v.store.mutex.Lock()
	defer v.store.mutex.Unlock()
	found, ok := v.store.groups[name]
	if !ok {
		return nil, nil
	}
	found.expire(time.Now())
	found.pass()
	var owners []keyedlog.Owner
	for partition, holder := range found.held {
		if _, alive := found.members[holder]; alive {
			owners = append(owners, keyedlog.Owner{Partition: partition, Member: holder})
		}
	}
	return owners, nil
}

// Redeal deals all partitions of all groups anew at once, without asking their holders.
func (s *Store) Redeal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, found := range s.groups {
		names := found.names()
		if len(names) == 0 {
			continue
		}
		found.generation++
		for name := range found.dealt {
			able := found.able(names, name.Topic)
			if len(able) == 0 {
				continue
			}
			place := slices.Index(able, found.dealt[name])
			found.dealt[name] = able[(place+1)%len(able)]
			found.held[name] = found.dealt[name]
		}
	}
}

func (s *Store) group(request keyedlog.JoinRequest) *group {
	found, ok := s.groups[request.Group]
	if !ok {
		found = &group{
			members: make(map[string]*member), dealt: make(map[keyedlog.Partition]string), held: make(map[keyedlog.Partition]string),
		}
		s.groups[request.Group] = found
	}
	return found
}

func (g *group) names() []string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// able returns those of some members that name a topic.
func (g *group) able(names []string, topic keyedlog.Topic) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(g.members[name].topics, topic) })
}

// expire drops members that were silent for their lifetime.
func (g *group) expire(now time.Time) {
	changed := false
	for name, known := range g.members {
		if now.Sub(known.heard) > known.lifetime {
			delete(g.members, name)
			changed = true
		}
	}
	if changed {
		g.deal(nil)
	}
}

// deal spreads the partitions evenly over the members, each staying where it is if that stays even.
func (g *group) deal(v *view) {
	g.generation++
	names := g.names()
	if v != nil {
		g.learnPartitions(v)
	}
	if len(names) == 0 {
		return
	}
	quota := (len(g.dealt) + len(names) - 1) / len(names)
	counts := make(map[string]int)
	for name, holder := range g.dealt {
		known, alive := g.members[holder]
		if alive && counts[holder] < quota && slices.Contains(known.topics, name.Topic) {
			counts[holder]++
			continue
		}
		g.dealt[name] = ""
	}
	for name, holder := range g.dealt {
		able := g.able(names, name.Topic)
		if holder != "" || len(able) == 0 {
			continue
		}
		least := slices.MinFunc(able, func(a, b string) int { return counts[a] - counts[b] })
		g.dealt[name] = least
		counts[least]++
	}
}

// learnPartitions takes the partitions of all topics that members name.
func (g *group) learnPartitions(v *view) {
	for _, known := range g.members {
		for _, topic := range known.topics {
			for number := range v.Partitions(topic) {
				name := keyedlog.Partition{Topic: topic, Number: number}
				if _, known := g.dealt[name]; !known {
					g.dealt[name] = ""
				}
			}
		}
	}
}

// pass hands partitions over where the old holder allows it.
func (g *group) pass() {
	for name, to := range g.dealt {
		holder := g.held[name]
		if holder == to {
			continue
		}
		known, alive := g.members[holder]
		if !alive || known.generation >= g.generation {
			g.held[name] = to
		}
	}
}
