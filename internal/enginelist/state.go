package enginelist

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

// engineState is an engine as described by its own record at an offset, without the models that it serves.
type engineState struct {
	engine fleet.Engine
	offset int64
}

// covers reports whether an entry of the list contains everything that a reader of the list needs to know of an engine.
// A later own record needs no new entry if it differs only in its models, or states an end of the cold period that is at most
// coldTolerance later.
func (s engineState) covers(own engineState) bool {
	if s.offset >= own.offset {
		return true
	}
	a, b := s.engine, own.engine
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.Preemptible == b.Preemptible && a.StartedAt.Equal(b.StartedAt) &&
		!b.ColdUntil.After(a.ColdUntil.Add(coldTolerance))
}

// coldTolerance is how much longer an engine may be cold than its entry says. A record states the time left, and the end is
// computed from it when the record is read, which varies by some tenths of a second.
const coldTolerance = 500 * time.Millisecond

// encode returns the record of an engine.
func (s engineState) encode() ([]byte, error) {
	address, err := netip.ParseAddrPort(s.engine.Address)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", s.engine.ID, err)
	}
	packed, err := address.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", s.engine.ID, err)
	}
	record := entry{
		Pool: s.engine.Pool, Address: packed, Zone: s.engine.Zone, Slots: s.engine.Slots, Draining: s.engine.Draining,
		Preemptible: s.engine.Preemptible, StartedAt: toMilliseconds(s.engine.StartedAt), ColdUntil: toMilliseconds(s.engine.ColdUntil),
		Offset: s.offset,
	}
	return record.MarshalMsg(nil)
}

// decode returns the engine of a record.
func decode(id string, value []byte) (engineState, error) {
	var record entry
	if _, err := record.UnmarshalMsg(value); err != nil {
		return engineState{}, fmt.Errorf("engine %s: %w", id, err)
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(record.Address); err != nil {
		return engineState{}, fmt.Errorf("engine %s: %w", id, err)
	}
	return engineState{
		engine: fleet.Engine{
			ID: id, Pool: record.Pool, Address: address.String(), Zone: record.Zone, Slots: record.Slots, Draining: record.Draining,
			Preemptible: record.Preemptible, StartedAt: fromMilliseconds(record.StartedAt), ColdUntil: fromMilliseconds(record.ColdUntil),
		},
		offset: record.Offset,
	}, nil
}

func toMilliseconds(moment time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return moment.UnixMilli()
}

func fromMilliseconds(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}
