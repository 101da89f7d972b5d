package job

import "slices"

// lines holds the stored texts of one item by line. The process that runs an item stores its text piece by piece, so that
// all pieces of a line together are no larger than the text, and the next owner resumes where the last piece ends.
type lines map[uint64]*line

// line is one text, with the pieces that were read before the pieces that they follow.
type line struct {
	text   *Progress
	pieces map[int]*Progress
}

// add adds a piece, and returns the text of its line up to the first gap, nil if the start of the line is missing. Texts
// that were returned before are not modified.
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

// extend appends to the text the pieces that follow it.
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
