package enginelist

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

// sighting is an engine as its own record at an offset tells of it, without the models that it serves.
type sighting struct {
	engine fleet.Engine
	offset int64
}

// covers tells whether an entry of the list leaves out nothing that a reader of the list needs to know of an engine. Of a later record that
// only tells of models nobody has to know.
func (s sighting) covers(own sighting) bool {
	if s.offset >= own.offset {
		return true
	}
	a, b := s.engine, own.engine
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.Preemptible == b.Preemptible && a.StartedAt.Equal(b.StartedAt)
}

// encode returns the record of an engine.
func (s sighting) encode() ([]byte, error) {
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
		Preemptible: s.engine.Preemptible, StartedAt: milliseconds(s.engine.StartedAt), ColdUntil: milliseconds(s.engine.ColdUntil),
		Offset: s.offset,
	}
	return record.MarshalMsg(nil)
}

// decode returns the engine of a record.
func decode(id string, value []byte) (sighting, error) {
	var record entry
	if _, err := record.UnmarshalMsg(value); err != nil {
		return sighting{}, fmt.Errorf("engine %s: %w", id, err)
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(record.Address); err != nil {
		return sighting{}, fmt.Errorf("engine %s: %w", id, err)
	}
	return sighting{
		engine: fleet.Engine{
			ID: id, Pool: record.Pool, Address: address.String(), Zone: record.Zone, Slots: record.Slots, Draining: record.Draining,
			Preemptible: record.Preemptible, StartedAt: moment(record.StartedAt), ColdUntil: moment(record.ColdUntil),
		},
		offset: record.Offset,
	}, nil
}

func milliseconds(moment time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return moment.UnixMilli()
}

func moment(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}
