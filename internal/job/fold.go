package job

import (
	"fmt"
	"strconv"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// jobState is the state of one job as far as its records have been read.
type jobState struct {
	// spec is the submission once all its records have been read. Until then, header is the submission without items, and
	// items holds the items read so far by their index.
	spec   *Spec
	header *Spec
	items  map[int]Item
	// index maps item ids to the index of the item in the spec.
	index map[string]int
	// results holds the listed results by position, from base on; listed maps item ids to positions. visible is the first
	// position from base on without a result.
	results  map[int]*Result
	listed   map[string]int
	base     int
	visible  int
	progress map[string]*Progress
	// lines holds the texts of items that are not listed, by item id. pieceKeys holds the keys of all pieces after the first
	// one.
	lines     map[string]lines
	pieceKeys map[string]bool
	// progressCount counts the progress records that extended an item's progress.
	progressCount int
	changed       broadcast.Signal
}

// fold accumulates the records of one partition into its jobs.
type fold struct {
	jobs  map[string]*jobState
	parts map[string]map[int][]byte
	// skipped counts invalid records.
	skipped int
}

func newFold() *fold {
	return &fold{jobs: make(map[string]*jobState), parts: make(map[string]map[int][]byte)}
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
	parts, ok := f.parts[key.baseKey]
	if !ok {
		parts = make(map[int][]byte)
		f.parts[key.baseKey] = parts
	}
	parts[key.part] = value
	if completing, ok := parts[completingPart]; ok {
		// When the newest records are read by key, the completing record comes before its parts.
		_ = f.apply(keyedlog.Record{Key: key.baseKey, Value: completing})
	}
}

// completingPart is the key under which a completing record is stored until all its parts have been read.
const completingPart = -1

// join reassembles a value from its parts. It returns false while parts are missing.
func (f *fold) join(key parsedKey, completing []byte) ([]byte, bool, error) {
	if key.kind == keySettled {
		return completing, true, nil
	}
	count, rest, err := decodePartCount(completing)
	if err != nil || count == 0 {
		return rest, err == nil, err
	}
	parts, ok := f.parts[key.baseKey]
	if !ok {
		parts = make(map[int][]byte)
		f.parts[key.baseKey] = parts
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
	delete(f.parts, key.baseKey)
	return append(value, rest...), true, nil
}

func (f *fold) applyValue(key parsedKey, value []byte) error {
	switch key.kind {
	case keySpec:
		return f.applyHeader(key.jobID, value)
	case keyItem:
		return f.applyItem(key, value)
	case keySettled:
		// The record marks an offset in the partition and changes nothing.
		return nil
	case keyResult:
		return f.applyResult(key, value)
	default:
		return f.applyProgress(key, value)
	}
}

func (f *fold) job(id string) *jobState {
	found, ok := f.jobs[id]
	if !ok {
		found = &jobState{
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
	index, err := strconv.Atoi(key.rest)
	if err != nil || index < 0 {
		return errKey
	}
	found := f.job(key.jobID)
	if _, known := found.items[index]; known || found.spec != nil {
		return nil
	}
	var item Item
	if _, err := item.UnmarshalMsg(value); err != nil {
		return err
	}
	found.items[index] = item
	found.assemble()
	return nil
}

// assemble completes the submission once all its items have been read.
func (s *jobState) assemble() {
	if s.header == nil || len(s.items) < len(s.header.ItemIDs) {
		return
	}
	spec := *s.header
	spec.Items = make([]Item, 0, len(spec.ItemIDs))
	s.index = make(map[string]int, len(spec.ItemIDs))
	for itemIndex, id := range spec.ItemIDs {
		item, ok := s.items[itemIndex]
		if !ok || item.ID != id {
			return
		}
		s.index[id] = itemIndex
		spec.Items = append(spec.Items, item)
	}
	s.spec = &spec
	s.items = nil
	s.changed.Notify()
}

// applyResult lists a result. A position is never overwritten, and an item is never listed twice.
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
		found.pieceKeys[key.baseKey] = true
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
	found.progressCount++
	return nil
}

// FurtherThan reports whether the progress is further advanced than known: the whole text wins over a part, then more events,
// then a score.
func (p *Progress) FurtherThan(known *Progress) bool {
	if p.Whole != known.Whole {
		return p.Whole
	}
	return len(p.Events) > len(known.Events) || p.Score != "" && known.Score == ""
}

// drop removes the state of a dropped key. Dropping the submission removes the job.
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
		delete(found.pieceKeys, key.baseKey)
	}
}
