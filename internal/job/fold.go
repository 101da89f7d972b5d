package job

import (
	"fmt"
	"strconv"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// state is one job as far as its records have been read.
type state struct {
	// spec is the submission once it is whole. Until then header is it without items, and items holds those read by place.
	spec   *Spec
	header *Spec
	items  map[int]Item
	// index maps items to their place in the spec.
	index map[string]int
	// results holds the listed results by position, from base on; listed maps items to positions. visible is the first position from base on
	// without a result.
	results  map[int]*Result
	listed   map[string]int
	base     int
	visible  int
	progress map[string]*Progress
	// lines holds the texts of items that are not listed, by item; pieceKeys the keys of all their later pieces.
	lines     map[string]lines
	pieceKeys map[string]bool
	// progressed counts the progress taken.
	progressed int
	changed    broadcast.Signal
}

// fold holds the jobs of one partition.
type fold struct {
	jobs  map[string]*state
	parts map[string]map[int][]byte
	// skipped counts records that were not in the form of one.
	skipped int
}

func newFold() *fold {
	return &fold{jobs: make(map[string]*state), parts: make(map[string]map[int][]byte)}
}

// apply folds one record.
func (f *fold) apply(record keyedlog.Record) error {
	if record.Key == keyedlog.OwnerKey {
		return nil
	}
	key, err := parseKey(record.Key)
	if err != nil {
		f.skipped++
		return fmt.Errorf("record %d: %w", record.Offset, err)
	}
	if record.Value == nil {
		f.drop(key)
		return nil
	}
	if key.part >= 0 {
		f.keepPart(key, record.Value)
		return nil
	}
	value, whole, err := f.join(key, record.Value)
	if err != nil {
		f.skipped++
		return fmt.Errorf("record %d: %w", record.Offset, err)
	}
	if !whole {
		return nil
	}
	if err := f.applyValue(key, value); err != nil {
		f.skipped++
		return fmt.Errorf("record %d: %w", record.Offset, err)
	}
	return nil
}

func (f *fold) keepPart(key parsedKey, value []byte) {
	parts, ok := f.parts[key.whole]
	if !ok {
		parts = make(map[int][]byte)
		f.parts[key.whole] = parts
	}
	parts[key.part] = value
	if completing, ok := parts[completingPart]; ok {
		// Read after the fact, the completing record comes before its parts.
		_ = f.apply(keyedlog.Record{Key: key.whole, Value: completing})
	}
}

// completingPart is where a completing record waits for parts.
const completingPart = -1

// join puts a value together. It is not whole while parts are missing.
func (f *fold) join(key parsedKey, completing []byte) ([]byte, bool, error) {
	if key.kind == keySettled {
		return completing, true, nil
	}
	count, rest, err := splitHead(completing)
	if err != nil || count == 0 {
		return rest, err == nil, err
	}
	parts, ok := f.parts[key.whole]
	if !ok {
		parts = make(map[int][]byte)
		f.parts[key.whole] = parts
	}
	var value []byte
	for i := range count {
		part, ok := parts[i]
		if !ok {
			parts[completingPart] = completing
			return nil, false, nil
		}
		value = append(value, part...)
	}
	delete(f.parts, key.whole)
	return append(value, rest...), true, nil
}

func (f *fold) applyValue(key parsedKey, value []byte) error {
	switch key.kind {
	case keySpec:
		return f.applyHeader(key.jobID, value)
	case keyItem:
		return f.applyItem(key, value)
	case keySettled:
		// It marks a place in the partition and changes nothing.
		return nil
	case keyResult:
		return f.applyResult(key, value)
	default:
		return f.applyProgress(key, value)
	}
}

func (f *fold) job(id string) *state {
	found, ok := f.jobs[id]
	if !ok {
		found = &state{
			items: make(map[int]Item), results: make(map[int]*Result), listed: make(map[string]int), progress: make(map[string]*Progress),
			lines: make(map[string]lines), pieceKeys: make(map[string]bool), changed: broadcast.New(),
		}
		f.jobs[id] = found
	}
	return found
}

func (f *fold) applyHeader(id string, value []byte) error {
	found := f.job(id)
	if found.header != nil {
		return nil
	}
	header := new(Spec)
	if _, err := header.UnmarshalMsg(value); err != nil {
		return err
	}
	found.header = header
	found.assemble()
	return nil
}

func (f *fold) applyItem(key parsedKey, value []byte) error {
	place, err := strconv.Atoi(key.rest)
	if err != nil || place < 0 {
		return errKey
	}
	found := f.job(key.jobID)
	if _, known := found.items[place]; known || found.spec != nil {
		return nil
	}
	var item Item
	if _, err := item.UnmarshalMsg(value); err != nil {
		return err
	}
	found.items[place] = item
	found.assemble()
	return nil
}

// assemble makes the submission whole once all its items were read.
func (s *state) assemble() {
	if s.header == nil || len(s.items) < len(s.header.ItemIDs) {
		return
	}
	spec := *s.header
	spec.Items = make([]Item, 0, len(spec.ItemIDs))
	s.index = make(map[string]int, len(spec.ItemIDs))
	for place, id := range spec.ItemIDs {
		item, ok := s.items[place]
		if !ok || item.ID != id {
			return
		}
		s.index[id] = place
		spec.Items = append(spec.Items, item)
	}
	s.spec = &spec
	s.items = nil
	s.changed.Notify()
}

// applyResult lists a result. A position is never filled twice, and an item is never listed twice.
func (f *fold) applyResult(key parsedKey, value []byte) error {
	position, err := strconv.Atoi(key.rest)
	if err != nil || position < 0 {
		return errKey
	}
	found := f.job(key.jobID)
	if position < found.base {
		return nil
	}
	if value, err = decompress(value); err != nil {
		return err
	}
	result := new(Result)
	if _, err := result.UnmarshalMsg(value); err != nil {
		return err
	}
	if _, taken := found.results[position]; taken {
		return nil
	}
	found.results[position] = result
	found.listed[result.ItemID] = position
	delete(found.progress, result.ItemID)
	delete(found.lines, result.ItemID)
	for found.results[found.visible] != nil {
		found.visible++
	}
	found.changed.Notify()
	return nil
}

func (f *fold) applyProgress(key parsedKey, value []byte) error {
	value, err := decompress(value)
	if err != nil {
		return err
	}
	progress := new(Progress)
	if _, err := progress.UnmarshalMsg(value); err != nil {
		return err
	}
	found := f.job(key.jobID)
	if progress.From > 0 {
		found.pieceKeys[key.whole] = true
	}
	if _, listed := found.listed[progress.ItemID]; listed {
		return nil
	}
	texts := found.lines[progress.ItemID]
	if texts == nil {
		texts = make(lines)
		found.lines[progress.ItemID] = texts
	}
	text := texts.add(progress)
	if text == nil {
		return nil
	}
	if known, ok := found.progress[progress.ItemID]; ok && !text.FurtherThan(known) {
		return nil
	}
	found.progress[progress.ItemID] = text
	found.progressed++
	return nil
}

// FurtherThan tells whether progress is worth more than what is known.
func (p *Progress) FurtherThan(known *Progress) bool {
	if p.Whole != known.Whole {
		return p.Whole
	}
	return len(p.Events) > len(known.Events) || p.Score != "" && known.Score == ""
}

// drop forgets what a dropped key held. A job is forgotten with its submission.
func (f *fold) drop(key parsedKey) {
	if key.part >= 0 {
		return
	}
	found, ok := f.jobs[key.jobID]
	switch {
	case !ok:
	case key.kind == keySpec:
		found.changed.Notify()
		delete(f.jobs, key.jobID)
	case key.kind == keyProgress:
		delete(found.pieceKeys, key.whole)
	}
}
