package coordinator

import (
	"time"

	"kingcuprill/core/place"
	"kingcuprill/rpc/entry"
)

func toRequest(m *entry.ReserveRequest, now time.Time) place.Request {
	r := place.Request{
		Service: m.GetService(), Preferred: m.GetTarget(), Coordinated: true, Sticky: true, Fetch: m.GetFetch(), Home: m.GetHome(), Retry: m.GetRetry(), Apart: m.GetApart(), MayForward: m.GetMayForward(), AwayTime: time.Duration(m.GetAwayNanoseconds()),
		Excluded: m.GetExcluded(), ColdRate: m.GetColdRate(), Memory: int(m.GetMemoryTokens()), EventTokens: int(m.GetEventTokens()),
		PreferredBound: time.Duration(m.GetComfortNanoseconds()), Bound: time.Duration(m.GetBoundNanoseconds()), Objective: time.Duration(m.GetObjectiveNanoseconds()),
		LeaveAfter: time.Duration(m.GetLeaveNanoseconds()), Rank: int(m.GetRank()), Now: now, Deadline: now.Add(time.Duration(m.GetLeftNanoseconds())),
	}
	r.Demand = place.Demand{Prompt: int(m.GetPromptTokens()), Output: int(m.GetOutputTokens()), Expected: int(m.GetExpectedTokens())}
	r.SameVersion, r.Version = m.Version != nil, m.GetVersion()
	r.Limits = toLimits(m.GetLimits())
	for _, p := range m.GetParts() {
		r.Demand.Parts = append(r.Demand.Parts, place.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return r
}

func fromRequest(r place.Request) *entry.ReserveRequest {
	m := &entry.ReserveRequest{
		Service: r.Service, Target: r.Preferred, Excluded: r.Excluded, ColdRate: r.ColdRate, MemoryTokens: int64(r.Memory),
		EventTokens: int64(r.EventTokens), ComfortNanoseconds: int64(r.PreferredBound), BoundNanoseconds: int64(r.Bound), ObjectiveNanoseconds: int64(r.Objective),
		LeftNanoseconds: int64(r.Deadline.Sub(r.Now)), Fetch: r.Fetch, Home: r.Home, Retry: r.Retry, Apart: r.Apart, MayForward: r.MayForward, AwayNanoseconds: int64(r.AwayTime),
		LeaveNanoseconds: int64(r.LeaveAfter), Rank: int32(r.Rank), PromptTokens: int64(r.Demand.Prompt), OutputTokens: int64(r.Demand.Output), ExpectedTokens: int64(r.Demand.Expected),
	}
	if r.SameVersion {
		m.Version = &r.Version
	}
	m.Limits = fromLimits(r.Limits)
	for _, p := range r.Demand.Parts {
		m.Parts = append(m.Parts, &entry.Part{Id: p.ID, Tokens: int64(p.Tokens)})
	}
	return m
}

func fromLimits(limits []place.TargetLimit) (messages []*entry.TargetLimit) {
	for _, l := range limits {
		messages = append(messages, &entry.TargetLimit{Target: l.Target, RatePerSecond: l.Rate, AgeNanoseconds: int64(l.Age)})
	}
	return messages
}

// toLimits leaves out rates that no target can have named.
func toLimits(messages []*entry.TargetLimit) (limits []place.TargetLimit) {
	for _, m := range messages {
		if !(m.GetRatePerSecond() >= 0) {
			continue
		}
		limits = append(limits, place.TargetLimit{Target: m.GetTarget(), Rate: m.GetRatePerSecond(), Age: time.Duration(m.GetAgeNanoseconds())})
	}
	return limits
}
