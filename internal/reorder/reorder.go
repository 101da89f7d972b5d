// Package reorder puts the pieces of one answer in order: pieces may arrive late, twice, overlapping or out of order, and
// are returned without gaps or overlaps.
package reorder

// MaxHeld is the maximum number of pieces held while an earlier piece is missing; further ones are dropped.
const MaxHeld = 256

// Accessors contains the functions that access a piece of type P.
type Accessors[P any] struct {
	// Index returns the position of the first token in the answer, Length the number of tokens.
	Index  func(piece P) int
	Length func(piece P) int
	// Skip returns the piece without its first tokens; the argument tokens is their number.
	Skip func(piece P, tokens int) P
}

// Drops counts the pieces that were dropped or delayed.
type Drops struct {
	// Duplicate pieces contain only tokens that had arrived before.
	Duplicate int
	// Overflow pieces arrived while MaxHeld pieces were held.
	Overflow int
	// Reordered pieces were held until the pieces before them arrived.
	Reordered int
}

// Buffer puts the pieces of one answer in order. It is not safe for concurrent use.
type Buffer[P any] struct {
	accessors Accessors[P]
	next      int
	held      map[int]P
	drops     Drops
}

// NewBuffer returns a buffer whose first token has the index next.
func NewBuffer[P any](accessors Accessors[P], next int) *Buffer[P] {
	return &Buffer[P]{accessors: accessors, next: next, held: make(map[int]P)}
}

// Next returns the index of the first token that has not arrived in order.
func (b *Buffer[P]) Next() int { return b.next }

// Drops returns the counts so far.
func (b *Buffer[P]) Drops() Drops { return b.drops }

// Advance skips a number of tokens as if they had arrived in order.
func (b *Buffer[P]) Advance(tokens int) { b.next += tokens }

// Add adds a piece and returns the pieces that are now ready, in order and without gaps or overlaps.
func (b *Buffer[P]) Add(piece P) (ready []P) {
	index := b.accessors.Index(piece)
	if index+b.accessors.Length(piece) <= b.next {
		b.drops.Duplicate++
		return nil
	}
	if index > b.next {
		b.hold(piece)
		return nil
	}
	ready = append(ready, b.trim(piece))
	for {
		held, found := b.nextHeld()
		if !found {
			return ready
		}
		ready = append(ready, b.trim(held))
	}
}

// trim removes the tokens that have arrived before and advances the buffer past the piece.
func (b *Buffer[P]) trim(piece P) P {
	trimmed := b.accessors.Skip(piece, b.next-b.accessors.Index(piece))
	b.next += b.accessors.Length(trimmed)
	return trimmed
}

func (b *Buffer[P]) hold(piece P) {
	index := b.accessors.Index(piece)
	known, exists := b.held[index]
	switch {
	case exists && b.accessors.Length(known) >= b.accessors.Length(piece):
		b.drops.Duplicate++
	case !exists && len(b.held) >= MaxHeld:
		b.drops.Overflow++
	default:
		b.drops.Reordered++
		b.held[index] = piece
	}
}

// nextHeld removes and returns a held piece that continues the answer, and discards held pieces without new tokens.
func (b *Buffer[P]) nextHeld() (piece P, found bool) {
	for index, held := range b.held {
		if index > b.next {
			continue
		}
		delete(b.held, index)
		if index+b.accessors.Length(held) > b.next {
			return held, true
		}
		b.drops.Duplicate++
	}
	return piece, false
}
