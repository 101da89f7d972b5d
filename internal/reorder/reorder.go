// Package reorder puts the pieces of one answer in order: pieces may come late, twice, overlapping or out of order, and
// leave without a gap or an overlap.
package reorder

// MaxHeld bounds the pieces held for one that is missing before them; more are dropped.
const MaxHeld = 256

// Accessors tells how to read a piece of type P.
type Accessors[P any] struct {
	// Index is the position of the first token in the answer, Length the number of tokens.
	Index  func(piece P) int
	Length func(piece P) int
	// Skip returns the piece without its first tokens.
	Skip func(piece P, tokens int) P
}

// Drops counts pieces that were not passed on as they came.
type Drops struct {
	// Duplicate pieces hold only tokens that had arrived.
	Duplicate int
	// Overflow pieces came too far ahead of a missing one.
	Overflow int
	// Reordered pieces were held until those before them came.
	Reordered int
}

// Buffer puts the pieces of one answer in order. It is not safe for concurrent use.
type Buffer[P any] struct {
	shape Accessors[P]
	next  int
	held  map[int]P
	drops Drops
}

// NewBuffer expects the piece at index next first.
func NewBuffer[P any](shape Accessors[P], next int) *Buffer[P] {
	return &Buffer[P]{shape: shape, next: next, held: make(map[int]P)}
}

// Next is the index of the first token that has not arrived in order.
func (b *Buffer[P]) Next() int { return b.next }

// Drops counts what was not passed on as it came, so far.
func (b *Buffer[P]) Drops() Drops { return b.drops }

// Advance moves on as if tokens had arrived in order.
func (b *Buffer[P]) Advance(tokens int) { b.next += tokens }

// Add takes a piece in and returns the pieces that are ready now, in order, without a gap or an overlap.
func (b *Buffer[P]) Add(piece P) (ready []P) {
	index := b.shape.Index(piece)
	if index+b.shape.Length(piece) <= b.next {
		b.drops.Duplicate++
		return nil
	}
	if index > b.next {
		b.hold(piece)
		return nil
	}
	ready = append(ready, b.take(piece))
	for {
		held, found := b.unhold()
		if !found {
			return ready
		}
		ready = append(ready, b.take(held))
	}
}

// take cuts off what has arrived before and moves on past the piece.
func (b *Buffer[P]) take(piece P) P {
	taken := b.shape.Skip(piece, b.next-b.shape.Index(piece))
	b.next += b.shape.Length(taken)
	return taken
}

func (b *Buffer[P]) hold(piece P) {
	index := b.shape.Index(piece)
	known, exists := b.held[index]
	switch {
	case exists && b.shape.Length(known) >= b.shape.Length(piece):
		b.drops.Duplicate++
	case !exists && len(b.held) >= MaxHeld:
		b.drops.Overflow++
	default:
		b.drops.Reordered++
		b.held[index] = piece
	}
}

// unhold returns a held piece that goes on where the answer stands, and forgets those that were overtaken.
func (b *Buffer[P]) unhold() (piece P, found bool) {
	for index, held := range b.held {
		if index > b.next {
			continue
		}
		delete(b.held, index)
		if index+b.shape.Length(held) > b.next {
			return held, true
		}
		b.drops.Duplicate++
	}
	return piece, false
}
