package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long an append takes (append_ms).
const appendTime = 4 * time.Millisecond

// partitions is the number of partitions of a topic.
const partitions = 8

// partition is one partition of a keyed topic.
type partition struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type record struct {
	key   string
	value []byte
}

// producer is the state of a fenced writer: its epoch, the sequence number that is wanted next, and its last answers.
type producer struct {
	epoch, next int64
	answers     map[int64][2]int64
}

// appendCall is an append of a replica, as the fault hook sees it.
type appendCall struct {
	replica string
	topic   string
	keys    []string
}

// Store plays the platform's store. Every replica reaches it at an address of its own.
type Store struct {
	mutex  sync.Mutex
	parts  map[string]*partition
	groups map[string]*group
	// lateAppend, if it is set, says how much later an append is done; such an append gets no answer.
	lateAppend func(appendCall) (time.Duration, bool)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: make(map[string]*partition), groups: make(map[string]*group)}
}

func (s *Store) part(topic, number string) *partition {
	name := topic + "/" + number
	found, ok := s.parts[name]
	if !ok {
		found = &partition{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.parts[name] = found
	}
	return found
}

// add appends records. The mutex must be held.
func (p *partition) add(records []record) (offset, end int64) {
	offset = int64(len(p.records))
	for _, next := range records {
		p.newest[next.key] = len(p.records)
		p.records = append(p.records, next)
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return offset, int64(len(p.records))
}

// Put writes a record of the operator, a trainer or a sampler; a nil value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.part(topic, "0").add([]record{{key, value}})
}

// Serve serves the store at an address for one replica.
func (s *Store) Serve(address, replica string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, replica) })}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, replica string) {
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r, replica)
	case "GET /-/log-read":
		s.read(w, r)
	case "GET /-/log-newest":
		s.readNewest(w, r)
	case "POST /-/log-join":
		s.join(w, r)
	case "POST /-/log-leave":
		s.leave(w, r)
	case "GET /-/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// decodeRecords decodes the body of an append; ok is false if it is malformed.
func decodeRecords(body []byte) (records []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || 4+length > len(body) || 1+int(body[4]) > length {
			return nil, false
		}
		content := body[4 : 4+length]
		keyEnd := 1 + int(content[0])
		next := record{key: string(content[1:keyEnd])}
		if keyEnd < length {
			next.value = append([]byte(nil), content[keyEnd:]...)
		}
		records = append(records, next)
		body = body[4+length:]
	}
	return records, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, replica string) {
	body, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	call := appendCall{replica: replica, topic: query.Get("topic")}
	for _, next := range records {
		call.keys = append(call.keys, next.key)
	}
	s.mutex.Lock()
	hook := s.lateAppend
	s.mutex.Unlock()
	if hook != nil {
		if delay, late := hook(call); late {
			time.AfterFunc(delay, func() {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.part(query.Get("topic"), query.Get("part")).add(records)
			})
			// The connection says nothing further.
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(appendTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	name := query.Get("producer")
	if name == "" {
		offset, end := p.add(records)
		answer(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
		return
	}
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(query.Get("seq"), 10, 64)
	writer, known := p.producers[name]
	switch {
	case known && epoch < writer.epoch:
		answer(w, http.StatusConflict, map[string]string{"why": "fenced"})
		return
	case !known || epoch > writer.epoch:
		writer = &producer{epoch: epoch, next: sequence, answers: make(map[int64][2]int64)}
		p.producers[name] = writer
	case sequence != writer.next:
		if first, kept := writer.answers[sequence]; kept && sequence >= writer.next-5 {
			answer(w, http.StatusOK, map[string]int64{"offset": first[0], "end": first[1]})
			return
		}
		answer(w, http.StatusConflict, map[string]any{"why": "seq", "seq": writer.next})
		return
	}
	offset, end := p.add(records)
	writer.answers[sequence] = [2]int64{offset, end}
	writer.next = sequence + 1
	answer(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit, _ := strconv.Atoi(query.Get("max_kb"))
	limit = max(1, min(limit, 1024)) << 10
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30000))*time.Millisecond)
	defer cancel()
	for {
		s.mutex.Lock()
		p := s.part(query.Get("topic"), query.Get("part"))
		if len(p.records) > from || ctx.Err() != nil {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < len(p.records) && (i == from || len(body) < limit); i++ {
				next := p.records[i]
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(next.key)+len(next.value)))
				body = append(append(append(body, byte(len(next.key))), next.key...), next.value...)
			}
			s.mutex.Unlock()
			_, _ = w.Write(body)
			return
		}
		changed := p.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	var keys []string
	for key, offset := range p.newest {
		if key > query.Get("afterRev") && p.records[offset].value != nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	requests := []map[string]any{}
	size := 0
	for i, key := range keys {
		value := p.records[p.newest[key]].value
		if size += len(value); i > 0 && size > 1<<20 {
			more = true
			break
		}
		requests = append(requests, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key],
		})
	}
	answer(w, http.StatusOK, map[string]any{"requests": requests, "more": more, "end": len(p.records)})
}

// group is a group of members that are dealt partitions.
type group struct {
	generation int64
	members    map[string]*member
	// owner and dealt map partitions to who holds them and to whom they are dealt.
	owner, dealt map[string]string
}

type member struct {
	expires time.Time
	topics  []string
	// lost is the generation with which partitions were dealt away from the member.
	lost int64
}

// settle removes silent members and deals partitions out. The mutex must be held.
func (g *group) settle() {
	now := time.Now()
	changed := false
	for name, known := range g.members {
		if now.After(known.expires) {
			delete(g.members, name)
			changed = true
		}
	}
	if changed {
		g.deal()
	}
}

// deal deals all partitions evenly, and moves as few as possible. The mutex must be held.
func (g *group) deal() {
	g.generation++
	all := make(map[string]bool)
	var names []string
	for name, known := range g.members {
		names = append(names, name)
		for _, topic := range known.topics {
			for number := range partitions {
				all[topic+"/"+strconv.Itoa(number)] = true
			}
		}
	}
	sort.Strings(names)
	var open []string
	count := make(map[string]int)
	before := g.dealt
	g.dealt = make(map[string]string)
	if len(names) == 0 {
		g.owner = make(map[string]string)
		return
	}
	most := (len(all) + len(names) - 1) / len(names)
	var sorted []string
	for name := range all {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		holder := before[name]
		if g.members[holder] != nil && count[holder] < most {
			g.dealt[name] = holder
			count[holder]++
			continue
		}
		open = append(open, name)
	}
	for _, name := range open {
		least := names[0]
		for _, candidate := range names {
			if count[candidate] < count[least] {
				least = candidate
			}
		}
		g.dealt[name] = least
		count[least]++
	}
	for _, name := range sorted {
		holder := g.owner[name]
		if g.members[holder] == nil {
			g.owner[name] = g.dealt[name]
		} else if g.dealt[name] != holder {
			g.members[holder].lost = g.generation
		}
	}
}

// handOver passes partitions that were dealt away from a member on.
func (g *group) handOver(name string) {
	for part, holder := range g.owner {
		if holder == name && g.dealt[part] != name {
			g.owner[part] = g.dealt[part]
		}
	}
}

func (s *Store) group(name string) *group {
	found, ok := s.groups[name]
	if !ok {
		found = &group{members: make(map[string]*member), owner: make(map[string]string), dealt: make(map[string]string)}
		s.groups[name] = found
	}
	found.settle()
	return found
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttlMs"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(body.Group)
	known, ok := g.members[body.Member]
	if !ok {
		known = &member{topics: body.Topics}
		g.members[body.Member] = known
	}
	known.expires = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	if !ok {
		g.deal()
	} else if body.Generation >= known.lost {
		g.handOver(body.Member)
	}
	parts := [][]any{}
	for part, holder := range g.owner {
		if holder == body.Member && g.dealt[part] == body.Member {
			topic, number := splitPart(part)
			parts = append(parts, []any{topic, number, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": body.TTLMS, "parts": parts})
}

func splitPart(part string) (string, int) {
	at := strings.LastIndex(part, "/")
	number, _ := strconv.Atoi(part[at+1:])
	return part[:at], number
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(body.Group)
	if _, ok := g.members[body.Member]; ok {
		delete(g.members, body.Member)
		g.deal()
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	parts := [][]any{}
	for part, holder := range s.group(r.URL.Query().Get("group")).owner {
		topic, number := splitPart(part)
		parts = append(parts, []any{topic, number, holder, 0})
	}
	answer(w, http.StatusOK, map[string]any{"parts": parts})
}

// Holder returns the member of a group that holds a partition, empty if there is none.
func (s *Store) Holder(groupName, part string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.group(groupName).owner[part]
}
