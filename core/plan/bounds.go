package plan

import (
	"errors"
	"math"
	"time"

	"kingcuprill/core/fault"
)

const (
	// maxTime bounds the times of a plan.
	maxTime = 30 * 24 * time.Hour
	// maxVersion is the highest whole number that every JSON library keeps exact.
	maxVersion = 1 << 53
	// maxTokens bounds the rates, bursts and costs of a plan.
	maxTokens = 1e15
	// maxWeight bounds the weight of a split.
	maxWeight = 1e9
)

// CheckBounds returns one fault.Invalid error that lists every number which no operator
// means, with its field and value, or nil. It is for new plans: one that is in force
// already has to be read, whatever its numbers are.
func (p Plan) CheckBounds() error {
	b := &bounds{}
	b.number("version", float64(p.Version), maxVersion)
	for _, r := range p.Routes {
		field := "routes." + fault.Quote(r.Name)
		b.time(field+".timeout", r.Timeout)
		b.time(field+".objective", r.Objective)
		b.time(field+".longest gap", r.MaxGap)
		for _, s := range r.Splits {
			b.number(field+".weight", s.Weight, maxWeight)
		}
	}
	for _, s := range p.Services {
		field := "services." + fault.Quote(s.Name)
		b.time(field+".cold start", s.ColdDuration)
		b.number(field+".requests per second to a cold target", s.ColdPerSecond, maxTokens)
		b.number(field+".slots", float64(s.Slots), math.MaxInt32)
		b.number(field+".memory tokens", float64(s.MemoryTokens), maxTokens)
		b.number(field+".tokens of an event", float64(s.EventTokens), math.MaxInt32)
	}
	for _, o := range p.Organisations {
		field := "organisations." + fault.Quote(o.Name)
		b.number(field+".rate", o.RatePerSecond, maxTokens)
		b.number(field+".burst", o.Burst, maxTokens)
		b.number(field+".plain tokens", o.PlainTokens, maxTokens)
	}
	if len(b.faults) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "%s", errors.Join(b.faults...))
}

// bounds collects the numbers that are out of their bounds.
type bounds struct {
	faults []error
}

func (b *bounds) number(field string, value, most float64) {
	if !(value >= 0 && value <= most) {
		b.faults = append(b.faults, fault.New(fault.Invalid, "%s: %v must be from 0 to %v", field, value, most))
	}
}

func (b *bounds) time(field string, value time.Duration) {
	if value < 0 || value > maxTime {
		b.faults = append(b.faults, fault.New(fault.Invalid, "%s: %v must be from 0 to %v", field, value, maxTime))
	}
}
