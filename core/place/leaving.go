package place

import "time"

// leavingFor is how long a target that has said in an answer that it leaves gets no
// requests. Its heartbeats say so by then, or it has gone.
const leavingFor = 2 * time.Minute

// MarkLeaving records that a target has said in an answer that it leaves. It reports
// whether that is news.
func (p *Placer) MarkLeaving(id string, now time.Time) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	if !found {
		return false
	}
	news = !now.Before(t.leavingUntil)
	t.leavingUntil = now.Add(leavingFor)
	return news
}

// ObserveLeaving records that the answer says that its target leaves.
func (a *Assignment) ObserveLeaving(now time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.Target.leavingUntil = now.Add(leavingFor)
}
