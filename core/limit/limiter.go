package limit

import (
	"sync"
	"time"

	"kingcuprill/core/blackboard"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/share"
)

// Limiter holds the accounts of the organisations that are active on a VM.
type Limiter struct {
	VM        string
	Catalogue *blackboard.Section[catalogue.Catalogue]

	accounts sync.Map // organisation name to *Account
	mu       sync.Mutex
	since    time.Time            // from when the shares accrue
	settled  uint64               // VM revision of the shares
	unset    bool                 // a change of the VM set is under way
	seen     map[string]time.Time // when organisations appeared in the catalogue
	known    *catalogue.Catalogue
}

// NewLimiter returns a limiter without accounts. Shares accrue after
// QuietAfterStart.
func NewLimiter(vm string, section *blackboard.Section[catalogue.Catalogue]) *Limiter {
	return &Limiter{
		VM: vm, Catalogue: section, since: time.Now().Add(QuietAfterStart),
		seen: map[string]time.Time{}, known: section.Read(),
	}
}

// Account returns the account of an organisation.
func (l *Limiter) Account(organisation string) (a *Account, err error) {
	if found, ok := l.accounts.Load(organisation); ok {
		return found.(*Account), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.accounts.Load(organisation); ok {
		return found.(*Account), nil
	}
	row, found := l.known.Organisations[organisation]
	if !found {
		return nil, fault.New(fault.NotFound, "organisation %q does not exist", organisation)
	}
	now := time.Now()
	a = newAccount(l.base(l.known, row), later(l.since, l.seen[organisation]), now)
	l.accounts.Store(organisation, a)
	return a, nil
}

func (l *Limiter) base(c *catalogue.Catalogue, row catalogue.Organisation) Amount {
	fraction := share.Of(c, l.VM, row.Name)
	return Amount{RatePerSecond: fraction * row.RatePerSecond, Burst: fraction * row.Burst}
}

// Follow brings the accounts in line with the newest catalogue. Call it at
// each change.
func (l *Limiter) Follow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, now := l.Catalogue.Read(), time.Now()
	l.noteVMs(next, now)
	l.noteOrganisations(next, now)
	l.known = next
	l.accounts.Range(func(key, value any) bool {
		name, account := key.(string), value.(*Account)
		row, found := next.Organisations[name]
		if !found {
			account.SetBase(Amount{}, now)
			l.accounts.Delete(name)
			return true
		}
		account.SetBase(l.base(next, row), now)
		return true
	})
}

// noteVMs restarts the accrual of accounts that don't exist yet when a change
// of the VM set is settled: until then another VM may have spent the share.
func (l *Limiter) noteVMs(next *catalogue.Catalogue, now time.Time) {
	unset := next.Unsettled()
	if (l.unset && !unset) || next.VMRevision != l.settled {
		l.since = later(l.since, now)
	}
	l.unset = unset
	l.settled = next.VMRevision
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteOrganisations remembers when organisations appear: they accrue from then
// on. They don't start with their whole burst, since this VM may have spent it
// before a restart, or before the organisation was removed and came back.
func (l *Limiter) noteOrganisations(next *catalogue.Catalogue, now time.Time) {
	for name := range next.Organisations {
		if _, old := l.known.Organisations[name]; old {
			continue
		}
		l.seen[name] = now
	}
}

// Active returns the organisations that have an account here.
func (l *Limiter) Active() []string {
	names := []string{}
	l.accounts.Range(func(key, _ any) bool {
		names = append(names, key.(string))
		return true
	})
	return names
}
