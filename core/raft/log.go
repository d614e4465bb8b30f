package raft

import "fmt"

// entryLog holds the entries after the newest snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry // entries[0].Index == snapshot.Index+1
	stable   uint64  // last entry that is on disk
}

func (l *entryLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry. It is unknown for entries beyond the end
// of the log and for those that the snapshot replaced, except its last one.
func (l *entryLog) term(index uint64) (term uint64, known bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, known := l.term(index)
	return known && own == term
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	offset := l.snapshot.Index + 1
	return l.entries[first-offset : last-offset+1 : last-offset+1]
}

// size returns the bytes of the entries from first to last, as far as they are in the log.
func (l *entryLog) size(first, last uint64) (size int) {
	for _, entry := range l.slice(max(first, l.snapshot.Index+1), last) {
		size += len(entry.Data)
	}
	return size
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateAfter removes the entries after index. It panics if one of them is
// committed.
func (l *entryLog) truncateAfter(index, commit uint64) {
	if index < commit {
		panic(fmt.Sprintf("raft: entries after %d would be dropped, but %d is committed", index, commit))
	}
	kept := l.entries[: index-l.snapshot.Index : index-l.snapshot.Index]
	l.entries = kept
	l.stable = min(l.stable, index)
}

// firstOfTerm returns the lowest index at or below index with the same term.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, known := l.term(index)
	for known && index > l.snapshot.Index+1 {
		before, beforeKnown := l.term(index - 1)
		if !beforeKnown || before != term {
			break
		}
		index--
	}
	return index
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *entryLog) compact(snapshot Snapshot) {
	l.entries = append([]Entry(nil), l.entries[snapshot.Index-l.snapshot.Index:]...)
	l.snapshot = snapshot
}

// restore replaces the whole log by a snapshot that is on disk.
func (l *entryLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.entries = nil
	l.stable = snapshot.Index
}
