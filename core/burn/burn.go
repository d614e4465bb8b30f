// Package burn counts good and bad answers by organisation and route over
// several windows, for the report on service-level burn.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Objective is the share of answers that must be good.
const Objective = 0.99

// ring counts over one window in slots.
type ring struct {
	slot   time.Duration
	counts []count
}

type count struct {
	epoch int64 // number of the slot since the Unix epoch
	total uint32
	bad   uint32
}

func (r *ring) add(now time.Time, bad bool) {
	epoch := now.UnixNano() / int64(r.slot)
	c := &r.counts[epoch%int64(len(r.counts))]
	if c.epoch != epoch {
		*c = count{epoch: epoch}
	}
	c.total++
	if bad {
		c.bad++
	}
}

func (r *ring) sum(now time.Time) (total, bad uint64) {
	oldest := now.UnixNano()/int64(r.slot) - int64(len(r.counts))
	for _, c := range r.counts {
		if c.epoch > oldest {
			total += uint64(c.total)
			bad += uint64(c.bad)
		}
	}
	return total, bad
}

func (r *ring) window() time.Duration {
	return r.slot * time.Duration(len(r.counts))
}

func newRings() []*ring {
	return []*ring{
		{slot: 30 * time.Second, counts: make([]count, 10)},
		{slot: 5 * time.Minute, counts: make([]count, 12)},
		{slot: 30 * time.Minute, counts: make([]count, 12)},
	}
}

type name struct {
	organisation string
	route        string
}

// Row is one line of the report.
type Row struct {
	Organisation string
	Route        string
	Region       string
	Window       time.Duration
	Total        uint64
	Bad          uint64
}

// Rate returns how fast the error budget burns: 1 uses it up exactly.
func (r Row) Rate() float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Bad) / float64(r.Total) / (1 - Objective)
}

// Book holds the counts of one VM.
type Book struct {
	Region string
	mu     sync.Mutex
	rows   map[name][]*ring
}

// NewBook returns an empty book.
func NewBook(region string) *Book {
	return &Book{Region: region, rows: map[name][]*ring{}}
}

// Count notes one answer.
func (b *Book) Count(organisation, route string, bad bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := name{organisation, route}
	if b.rows[key] == nil {
		b.rows[key] = newRings()
	}
	now := time.Now()
	for _, r := range b.rows[key] {
		r.add(now, bad)
	}
}

// Rows returns the sums of all windows.
func (b *Book) Rows() []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	rows := []Row{}
	for key, rings := range b.rows {
		for _, r := range rings {
			total, bad := r.sum(now)
			if total > 0 {
				rows = append(rows, Row{key.organisation, key.route, b.Region, r.window(), total, bad})
			}
		}
	}
	return Merge(rows)
}

// Merge adds up rows of several VMs and puts them in order.
func Merge(rows []Row) []Row {
	type place struct {
		name
		region string
		window time.Duration
	}
	sums := map[place]Row{}
	for _, row := range rows {
		key := place{name{row.Organisation, row.Route}, row.Region, row.Window}
		sum := sums[key]
		row.Total += sum.Total
		row.Bad += sum.Bad
		sums[key] = row
	}
	merged := make([]Row, 0, len(sums))
	for _, row := range sums {
		merged = append(merged, row)
	}
	slices.SortFunc(merged, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Region, b.Region), cmp.Compare(a.Window, b.Window))
	})
	return merged
}
