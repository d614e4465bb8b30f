package streamversion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Records reach the tables of three VMs late, out of order, twice or never, and tables
// are lost. What a table finds is never another version than the one recorded first.
func TestLostAndLateRecordsAreNeverWrong(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		truth := map[Key]Version{}
		type message struct {
			key Key
			to  int
		}
		var waiting []message
		now, found := start, 0
		for i := range 4000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			key := KeyOf(fmt.Sprint(i))
			truth[key] = Version{Service: "s", Version: fmt.Sprint("v", random.IntN(3))}
			for to := range tables {
				for range random.IntN(3) { // lost, once or twice
					waiting = append(waiting, message{key, to})
				}
			}
			random.Shuffle(len(waiting), func(a, b int) { waiting[a], waiting[b] = waiting[b], waiting[a] })
			for _, m := range waiting[:len(waiting)/2] {
				tables[m.to].Record(m.key, truth[m.key], now)
			}
			waiting = waiting[len(waiting)/2:]
			if random.IntN(400) == 0 {
				tables[random.IntN(len(tables))] = NewTable()
			}
			asked := KeyOf(fmt.Sprint(random.IntN(i + 1)))
			for _, table := range tables {
				v, known := table.Find(asked, now)
				if known && v != truth[asked] {
					t.Fatalf("seed %d: version %v, recorded %v", seed, v, truth[asked])
				}
				if known {
					found++
				}
			}
		}
		if found < 1000 {
			t.Errorf("seed %d: %d found", seed, found)
		}
	}
}

// A stream with two versions is unknown, and one that nobody has asked for is forgotten.
func TestTwoVersionsAreUnknown(t *testing.T) {
	table := NewTable()
	table.Record(1, Version{"s", "v1"}, start)
	table.Record(1, Version{"s", "v2"}, start)
	table.Record(2, Version{"s", "v1"}, start)
	if v, found := table.Find(1, start); found {
		t.Errorf("version %v", v)
	}
	if _, found := table.Find(2, start.Add(Retention)); !found {
		t.Error("a stream is forgotten within the retention")
	}
	if rows := table.Rows(start.Add(Retention)); len(rows[Version{"s", "v1"}]) != 1 {
		t.Errorf("rows %v", rows)
	}
	if _, found := table.Find(2, start.Add(3*Retention)); found {
		t.Error("a stream is kept after twice the retention")
	}
}

// More streams than the bound are unknown; those before stay.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for key := range Key(maxStreams + 10) {
		table.Record(key, Version{"s", "v1"}, start)
	}
	_, first := table.Find(0, start)
	_, last := table.Find(maxStreams+5, start)
	if !first || last || table.Len() != maxStreams {
		t.Errorf("first %v, last %v, %d rows", first, last, table.Len())
	}
}

func TestVersionsInUse(t *testing.T) {
	heard := NewHeard(start)
	heard.Note(Version{"s", "v1"}, start)
	heard.Note(Version{"other", "v9"}, start)
	heard.Note(Version{"s", "v2"}, start.Add(Retention))
	if versions, listened := heard.Recent("s", start.Add(Retention)); len(versions) != 2 || listened != Retention {
		t.Errorf("%v after %v", versions, listened)
	}
	if versions, _ := heard.Recent("s", start.Add(3*Retention)); len(versions) != 1 {
		t.Errorf("%v", versions)
	}
}
