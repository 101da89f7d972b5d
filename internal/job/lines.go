package job

import "slices"

// lines holds the texts that are kept of one item, by line. Whoever runs an item keeps it piece by piece, so that all pieces of
// a line together are no larger than its text, and the next owner goes on where the last piece ends.
type lines map[uint64]*line

// line is one text, with the pieces that came before the ones they follow.
type line struct {
	text   *Progress
	pieces map[int]*Progress
}

// add takes a piece, and returns the text of its line as far as there is no gap, nil if its beginning is missing. Texts that
// were returned before are not changed.
func (l lines) add(piece *Progress) *Progress {
	found := l[piece.Line]
	if found == nil {
		found = &line{pieces: make(map[int]*Progress)}
		l[piece.Line] = found
	}
	switch {
	case piece.From > 0:
		found.pieces[piece.From] = piece
	case found.text == nil || piece.FurtherThan(found.text):
		found.text = piece
	}
	found.extend()
	return found.text
}

// extend takes up the pieces that follow the text.
func (l *line) extend() {
	if l.text == nil {
		return
	}
	for {
		next, ok := l.pieces[len(l.text.Events)]
		if !ok {
			return
		}
		delete(l.pieces, next.From)
		joined := *next
		joined.From = 0
		joined.Events = slices.Concat(l.text.Events, next.Events)
		l.text = &joined
	}
}
