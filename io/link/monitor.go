package link

import (
	"log/slog"
	"math"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/linkbudget"
	"kingcuprill/io/metrics"
)

var directionNames = [linkbudget.Directions]string{"in", "out"}

// Monitor keeps the budget of a VM's link up to date.
type Monitor struct {
	Counters *Counters
	Budget   *linkbudget.Budget
	Log      *slog.Logger
}

// Run updates the budget until the tomb is dying. It logs when callers' requests begin or cease
// to be shed, and when requests of other VMs begin or cease to be taken.
func (m *Monitor) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(linkbudget.Window)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case now := <-ticker.C:
			m.update(now)
		}
	}
}

func (m *Monitor) update(now time.Time) {
	shedding, taking := m.Budget.Shedding(), m.Budget.TakesForwarded()
	m.Budget.Update(m.Counters.Total(), now)
	switch {
	case m.Budget.TakesForwarded() == taking:
	case taking:
		m.log("link is nearly full; requests of other VMs are refused, and go elsewhere")
	default:
		m.log("link has headroom again; requests of other VMs are taken")
	}
	switch {
	case m.Budget.Shedding() == shedding:
	case shedding:
		m.log("link has headroom again; shedding has ended")
	default:
		m.log("link is full; requests of callers are shed")
	}
}

func (m *Monitor) log(message string) {
	b := m.Budget
	m.Log.Info(message, "in_percent", b.Percent(linkbudget.In), "out_percent", b.Percent(linkbudget.Out), "excess", math.Round(100*b.Excess())/100, "shed", b.Shed.Load())
}

// AddGauges adds the bytes by purpose and direction, the use of the link and the decisions.
func (m *Monitor) AddGauges(to *metrics.Metrics) {
	for d, direction := range directionNames {
		for p, purpose := range names {
			to.Gauge("link."+direction+"."+purpose, func() int64 { return m.Counters.Bytes(Purpose(p), d) })
		}
		to.Gauge("link."+direction+"_percent", func() int64 { return m.Budget.Percent(d) })
	}
	to.Gauge("link.shed", m.Budget.Shed.Load)
	to.Gauge("link.not_taken", m.Budget.NotTaken.Load)
}
