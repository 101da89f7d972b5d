package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is the platform's store in the form "log": partitions of records, the newest record of each key, and groups.
type Store struct {
	mutex   sync.Mutex
	parts   map[partKey]*partition
	groups  map[string]*group
	changed chan struct{}
	count   int
}

type partKey struct {
	topic string
	part  int
}

type partition struct {
	records [][]byte
	// times is when each record was added; newest is the offset of the newest record of each key.
	times     []time.Time
	newest    map[string]int
	producers map[string]*producerState
}

type producerState struct {
	epoch, last int64
	recent      map[int64]appended
}

type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewStore returns an empty store whose topics have count partitions each.
func NewStore(count int) *Store {
	return &Store{parts: make(map[partKey]*partition), groups: make(map[string]*group), changed: make(chan struct{}), count: count}
}

func (s *Store) partition(key partKey) *partition {
	found := s.parts[key]
	if found == nil {
		found = &partition{producers: make(map[string]*producerState), newest: make(map[string]int)}
		s.parts[key] = found
	}
	return found
}

// add adds records. What is not the newest of its key is forgotten after the history. The mutex must be held.
func (p *partition) add(records ...[]byte) {
	for _, record := range records {
		name, value := splitRecord(record)
		if len(value) == 0 {
			delete(p.newest, name)
		} else {
			p.newest[name] = len(p.records)
		}
		p.records, p.times = append(p.records, record), append(p.times, time.Now())
	}
}

// first returns the first offset that is kept. The mutex must be held.
func (p *partition) first() int {
	return sort.Search(len(p.times), func(i int) bool { return time.Since(p.times[i]) < history })
}

// history is how long the store keeps records that are not the newest of their key.
const history = 20 * time.Second

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a record of a keyed topic as the operator or a server does; a nil value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.partition(partKey{topic, 0})
	found.add(append(record, value...))
	s.notify()
}

func splitRecord(record []byte) (key string, value []byte) {
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return "", nil
	}
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:]
}

// Fault decides what becomes of a call: it is answered as usual, or as the fault says.
type Fault int

const (
	None Fault = iota
	// Busy answers 503 and does nothing, Many 429.
	Busy
	Many
	// Silent does nothing and never answers; Lost carries the call out and never answers.
	Silent
	Lost
	// Late carries the call out after Gateway.Delay and never answers.
	Late
)

// Gateway is one node's way to the store.
type Gateway struct {
	store *Store
	// Rule is called with the path and topic of each call; nil means no fault.
	mutex sync.Mutex
	rule  func(path, topic string, part int) Fault
	Delay time.Duration
	Addr  string
}

// Serve opens a way to the store on an address.
func (s *Store) Serve(address string) *Gateway {
	listener, err := net.Listen("tcp4", address)
	check(err)
	g := &Gateway{store: s, Addr: listener.Addr().String(), Delay: 3 * time.Second}
	go func() { _ = (&http.Server{Handler: g}).Serve(listener) }()
	return g
}

// SetRule sets the faults of calls from now on.
func (g *Gateway) SetRule(rule func(path, topic string, part int) Fault) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rule = rule
}

func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic, part := r.URL.Query().Get("topic"), 0
	part, _ = strconv.Atoi(r.URL.Query().Get("part"))
	g.mutex.Lock()
	rule := g.rule
	g.mutex.Unlock()
	fault := None
	if rule != nil {
		fault = rule(r.URL.Path, topic, part)
	}
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Many:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Silent:
		<-r.Context().Done()
		return
	case Late:
		time.AfterFunc(g.Delay, func() { g.store.handle(&discard{header: make(http.Header)}, r, topic, part, body) })
		<-r.Context().Done()
		return
	case Lost:
		g.store.handle(&discard{header: make(http.Header)}, r, topic, part, body)
		<-r.Context().Done()
		return
	}
	time.Sleep(2 * time.Millisecond)
	g.store.handle(w, r, topic, part, body)
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func (s *Store) handle(w http.ResponseWriter, r *http.Request, topic string, part int, body []byte) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, partKey{topic, part}, body)
	case "/-/log-read":
		s.read(w, r, partKey{topic, part})
	case "/-/log-newest":
		s.newest(w, r, partKey{topic, part})
	case "/-/log-join":
		s.join(w, body)
	case "/-/log-leave":
		s.leave(w, body)
	case "/-/log-owners":
		s.owners(w, r.URL.Query().Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	content, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, key partKey, body []byte) {
	if key.topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		length := int(binary.BigEndian.Uint32(rest))
		records = append(records, slices.Clone(rest[4:4+length]))
		rest = rest[4+length:]
	}
	query := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.partition(key)
	var state *producerState
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(query.Get("seq"), 10, 64)
	if name := query.Get("producer"); name != "" {
		state = found.producers[name]
		switch {
		case state == nil || epoch > state.epoch:
			state = &producerState{epoch: epoch, last: sequence - 1, recent: make(map[int64]appended)}
			found.producers[name] = state
		case epoch < state.epoch:
			answer(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		}
		if first, again := state.recent[sequence]; again && sequence > state.last-5 {
			answer(w, http.StatusOK, first)
			return
		}
		if sequence != state.last+1 {
			answer(w, http.StatusConflict, map[string]any{"why": "seq", "seq": state.last + 1})
			return
		}
	}
	result := appended{Offset: int64(len(found.records)), End: int64(len(found.records) + len(records))}
	found.add(records...)
	if state != nil {
		state.last = sequence
		state.recent[sequence] = result
	}
	s.notify()
	answer(w, http.StatusOK, result)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, key partKey) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	limit, _ := strconv.Atoi(query.Get("max_kb"))
	if limit == 0 {
		limit = 1024
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		records, first, changed := s.partition(key).records, s.partition(key).first(), s.changed
		s.mutex.Unlock()
		if from < first && from < len(records) {
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < len(records) || wait == 0 {
			content := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			content = binary.BigEndian.AppendUint64(content, uint64(first))
			for i := from; i < len(records); i++ {
				if i > from && len(content)+len(records[i]) > limit<<10 {
					break
				}
				content = binary.BigEndian.AppendUint32(content, uint32(len(records[i])))
				content = append(content, records[i]...)
			}
			_, _ = w.Write(content)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

type newestEntry struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request, key partKey) {
	after := r.URL.Query().Get("afterRev")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	records, last := s.partition(key).records, s.partition(key).newest
	var names []string
	for name := range last {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	entries, more, size := []newestEntry{}, false, 0
	for _, name := range names {
		_, value := splitRecord(records[last[name]])
		if len(entries) == 500 || len(entries) > 0 && size+len(value) > 1<<20 {
			more = true
			break
		}
		size += len(value)
		entries = append(entries, newestEntry{name, base64.StdEncoding.EncodeToString(value), last[name]})
	}
	answer(w, http.StatusOK, map[string]any{"requests": entries, "more": more, "end": len(records)})
}

// group is a group of members among which partitions are dealt.
type group struct {
	generation int64
	members    map[string]*member
	// target is whom a partition is dealt to, holder who has it.
	target, holder map[partKey]string
	moved          map[partKey]int64
}

type member struct {
	last   time.Time
	ttl    time.Duration
	topics []string
}

func (s *Store) group(name string) *group {
	found := s.groups[name]
	if found == nil {
		found = &group{members: make(map[string]*member), target: make(map[partKey]string), holder: make(map[partKey]string), moved: make(map[partKey]int64)}
		s.groups[name] = found
	}
	now := time.Now()
	gone := false
	for id, known := range found.members {
		if now.Sub(known.last) > known.ttl {
			delete(found.members, id)
			gone = true
		}
	}
	if gone {
		found.deal(s.count)
	}
	return found
}

func (g *group) deal(count int) {
	g.generation++
	var names []string
	topics := make(map[string]bool)
	for name, known := range g.members {
		names = append(names, name)
		for _, topic := range known.topics {
			topics[topic] = true
		}
	}
	sort.Strings(names)
	var all []partKey
	for topic := range topics {
		for part := range count {
			all = append(all, partKey{topic, part})
		}
	}
	slices.SortFunc(all, func(a, b partKey) int {
		if a.topic != b.topic {
			if a.topic < b.topic {
				return -1
			}
			return 1
		}
		return a.part - b.part
	})
	held := make(map[string]int)
	share := 0
	if len(names) > 0 {
		share = (len(all) + len(names) - 1) / len(names)
	}
	var open []partKey
	for _, key := range all {
		to := g.target[key]
		if g.members[to] == nil || held[to] >= share {
			open = append(open, key)
			continue
		}
		held[to]++
	}
	for _, key := range open {
		if len(names) == 0 {
			delete(g.target, key)
			continue
		}
		least := names[0]
		for _, name := range names {
			if held[name] < held[least] {
				least = name
			}
		}
		held[least]++
		g.target[key] = least
		g.moved[key] = g.generation
	}
	for key, holder := range g.holder {
		if g.members[holder] == nil {
			delete(g.holder, key)
		}
	}
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var request struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        int      `json:"ttlMs"`
		Generation int64    `json:"generation"`
	}
	check(json.Unmarshal(body, &request))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(request.Group)
	known := g.members[request.Member]
	if known == nil {
		known = &member{}
		g.members[request.Member] = known
		known.topics = request.Topics
		g.deal(s.count)
	}
	known.last, known.ttl, known.topics = time.Now(), time.Duration(request.TTL)*time.Millisecond, request.Topics
	rows := [][]any{}
	for key, to := range g.target {
		holder := g.holder[key]
		if holder == request.Member && to != holder && request.Generation >= g.moved[key] {
			delete(g.holder, key)
			holder = ""
		}
		if to == request.Member && (holder == "" || holder == to) {
			g.holder[key] = to
			rows = append(rows, []any{key.topic, key.part, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": request.TTL, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var request struct{ Group, Member string }
	check(json.Unmarshal(body, &request))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(request.Group)
	if g.members[request.Member] != nil {
		delete(g.members, request.Member)
		g.deal(s.count)
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := [][]any{}
	for key, holder := range s.group(name).holder {
		rows = append(rows, []any{key.topic, key.part, holder, 0})
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// Owner returns the member that holds a partition of a group.
func (s *Store) Owner(name, topic string, part int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.group(name).holder[partKey{topic, part}]
}

// Epoch returns the epoch of the last append of a producer to a partition.
func (s *Store) Epoch(topic string, part int, producer string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state := s.partition(partKey{topic, part}).producers[producer]; state != nil {
		return state.epoch
	}
	return -1
}
