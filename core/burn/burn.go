// Package burn counts good and bad answers by organisation and route over sliding
// windows of 5 minutes, 1 hour and 6 hours. From these it computes burn rates: how
// fast an error budget is used up.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Objective is the service-level objective: the share of answers that must be
// good.
const Objective = 0.99

// slidingWindow counts answers in a ring of slots that together span the window.
type slidingWindow struct {
	slot   time.Duration
	counts []slotCount
}

type slotCount struct {
	epoch int64 // number of the slot since the Unix epoch
	total uint32
	bad   uint32
}

func (w *slidingWindow) add(now time.Time, bad bool) {
	epoch := now.UnixNano() / int64(w.slot)
	c := &w.counts[epoch%int64(len(w.counts))]
	if c.epoch != epoch {
		*c = slotCount{epoch: epoch}
	}
	c.total++
	if bad {
		c.bad++
	}
}

func (w *slidingWindow) sum(now time.Time) (total, bad uint64) {
	oldest := now.UnixNano()/int64(w.slot) - int64(len(w.counts))
	for _, c := range w.counts {
		if c.epoch > oldest {
			total += uint64(c.total)
			bad += uint64(c.bad)
		}
	}
	return total, bad
}

func (w *slidingWindow) window() time.Duration {
	return w.slot * time.Duration(len(w.counts))
}

func newWindows() []*slidingWindow {
	return []*slidingWindow{
		{slot: 30 * time.Second, counts: make([]slotCount, 10)},
		{slot: 5 * time.Minute, counts: make([]slotCount, 12)},
		{slot: 30 * time.Minute, counts: make([]slotCount, 12)},
	}
}

type routeKey struct {
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

// Rate returns the burn rate, the share of bad answers relative to the share that
// the objective allows: 1 uses up the error budget exactly. It is 0 without
// answers.
func (r Row) Rate() float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Bad) / float64(r.Total) / (1 - Objective)
}

// Counter holds the counts of one VM. It is safe for concurrent use.
type Counter struct {
	Region string
	mu     sync.Mutex
	rows   map[routeKey][]*slidingWindow
}

// NewCounter returns a counter without counts, for a VM of a region.
func NewCounter(region string) *Counter {
	return &Counter{Region: region, rows: map[routeKey][]*slidingWindow{}}
}

// Count adds one answer.
func (c *Counter) Count(organisation, route string, bad bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := routeKey{organisation, route}
	if c.rows[key] == nil {
		c.rows[key] = newWindows()
	}
	now := time.Now()
	for _, w := range c.rows[key] {
		w.add(now, bad)
	}
}

// Rows returns the counts of all windows that have any, ordered as by Merge.
func (c *Counter) Rows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	rows := []Row{}
	for key, windows := range c.rows {
		for _, w := range windows {
			total, bad := w.sum(now)
			if total > 0 {
				rows = append(rows, Row{key.organisation, key.route, c.Region, w.window(), total, bad})
			}
		}
	}
	return Merge(rows)
}

// Merge adds up the rows of several VMs and sorts them by organisation, route,
// region and window.
func Merge(rows []Row) []Row {
	type rowKey struct {
		routeKey
		region string
		window time.Duration
	}
	sums := map[rowKey]Row{}
	for _, row := range rows {
		key := rowKey{routeKey{row.Organisation, row.Route}, row.Region, row.Window}
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
