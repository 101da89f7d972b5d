package job

// indexedEntry is an entry with the offset of its record in the index.
type indexedEntry struct {
	Entry
	offset int64
}

// entries holds the entries of one job. A job has several if it was submitted at several processes before they knew of each other's
// entries. All processes must choose the same one, also those that read it at a later offset because the store applied its append
// twice.
type entries []indexedEntry

// add adds an entry whose record has an offset in the index. Of the same entry, the record at the lowest offset counts.
func (e *entries) add(entry Entry, offset int64) {
	for i := range *e {
		if known := &(*e)[i]; known.Entry == entry {
			known.offset = min(known.offset, offset)
			return
		}
	}
	*e = append(*e, indexedEntry{entry, offset})
}

// chosen returns the entry that applies: the first in the index decides the partition and the tenant. Of the entries that agree with it
// in these, the one whose submission has the lowest offset is chosen, whatever their order in the index: all results lie behind that
// one.
func (e entries) chosen() Entry {
	first := e[0]
	for _, other := range e[1:] {
		if other.offset < first.offset {
			first = other
		}
	}
	lowest := first
	for _, other := range e {
		if other.sharesOwnership(&first) && other.Offset < lowest.Offset {
			lowest = other
		}
	}
	return lowest.Entry
}

// sharesOwnership reports whether two entries name the same partition and tenant.
func (e *indexedEntry) sharesOwnership(other *indexedEntry) bool {
	return e.StorePartition() == other.StorePartition() && e.Tenant == other.Tenant
}
