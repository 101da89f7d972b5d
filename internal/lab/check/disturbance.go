package check

import (
	"slices"
	"time"
)

// Disturbance is an unplanned fault that may cut work off or hold it up.
type Disturbance struct {
	// MayCut says that work in flight may be lost.
	MayCut bool
	// HoldsUp says that what is sent arrives late.
	HoldsUp bool
	// Target names the node or engine; empty for faults of the network and the log.
	Target string
	// CutsNetwork says that places are cut off from each other.
	CutsNetwork bool
	// During is when the fault was in force. It is open while it lasts, and reaches to the time by which others notice.
	During Interval
}

func (i Interval) overlaps(from, to time.Time) bool {
	return i.From.Before(to) && (i.To.IsZero() || i.To.After(from))
}

// disturbed tells whether an unplanned fault may have cut the request off.
func (o *Observations) disturbed(request Request) bool {
	return slices.ContainsFunc(o.Disturbances, func(d Disturbance) bool {
		return d.MayCut && d.During.overlaps(request.SentAt, request.EndedAt)
	})
}

// lostContact tells whether an unplanned fault may have come between a request and the node that it was sent to.
func (o *Observations) lostContact(request Request) bool {
	return slices.ContainsFunc(o.Disturbances, func(d Disturbance) bool {
		between := d.CutsNetwork || d.Target == request.Node
		return between && d.During.overlaps(request.SentAt, request.EndedAt)
	})
}

// heldUp tells whether a fault may have held messages up in a time.
func (o *Observations) heldUp(from, to time.Time) bool {
	return slices.ContainsFunc(o.Disturbances, func(d Disturbance) bool {
		return d.HoldsUp && d.During.overlaps(from, to)
	})
}
