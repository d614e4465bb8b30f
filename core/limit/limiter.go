package limit

import (
	"sync"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/share"
	"kingcuprill/core/watch"
)

// Limiter holds the accounts of the organisations that are active on a VM. It is
// safe for concurrent use.
type Limiter struct {
	VM        string
	Catalogue *watch.Value[catalogue.Catalogue]

	accounts   sync.Map // organisation name to *Account
	mu         sync.Mutex
	accrueFrom time.Time            // when new accounts begin to accrue
	settled    time.Time            // when the last change of the VM set was settled
	growFrom   time.Time            // when shares that it has raised are used
	vmRevision uint64               // VM revision of the applied catalogue
	unsettled  bool                 // a change of the VM set is not settled
	firstSeen  map[string]time.Time // when organisations appeared in the catalogue
	applied    *catalogue.Catalogue
}

// NewLimiter returns a limiter without accounts. Accounts begin to accrue after
// StartupDelay.
func NewLimiter(vm string, current *watch.Value[catalogue.Catalogue]) *Limiter {
	applied := current.Read()
	return &Limiter{
		VM: vm, Catalogue: current, accrueFrom: time.Now().Add(StartupDelay), applied: applied,
		vmRevision: applied.VMRevision, unsettled: applied.Unsettled(), firstSeen: map[string]time.Time{},
	}
}

// Account returns the account of an organisation and creates it if needed. The
// error is fault.NotFound if the organisation doesn't exist.
func (l *Limiter) Account(organisation string) (a *Account, err error) {
	if found, ok := l.accounts.Load(organisation); ok {
		return found.(*Account), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.accounts.Load(organisation); ok {
		return found.(*Account), nil
	}
	row, found := l.applied.Organisations[organisation]
	if !found {
		return nil, fault.New(fault.NotFound, "organisation %q does not exist", organisation)
	}
	now := time.Now()
	a = newAccount(l.base(l.applied, row), l.accrueStart(organisation), now)
	l.accounts.Store(organisation, a)
	return a, nil
}

// accrueStart returns when a new account of an organisation begins to accrue. There
// are no loans from before a change of the VM set if the organisation appeared after it.
func (l *Limiter) accrueStart(organisation string) time.Time {
	firstSeen := l.firstSeen[organisation]
	start := later(l.accrueFrom, firstSeen)
	if firstSeen.After(l.settled) {
		return start
	}
	return later(start, l.growFrom)
}

func (l *Limiter) base(c *catalogue.Catalogue, row catalogue.Organisation) Amount {
	fraction := share.Of(c, l.VM, row.Name)
	return Amount{RatePerSecond: fraction * row.RatePerSecond, Burst: fraction * row.Burst}
}

// Refresh updates the accounts to the newest catalogue. It must be called after
// each change of the catalogue.
func (l *Limiter) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, now := l.Catalogue.Read(), time.Now()
	l.trackVMSet(next, now)
	l.trackOrganisations(next, now)
	l.applied = next
	l.accounts.Range(func(key, value any) bool {
		name, account := key.(string), value.(*Account)
		row, found := next.Organisations[name]
		if !found {
			account.SetBase(Amount{}, l.growFrom, now)
			l.accounts.Delete(name)
			return true
		}
		account.SetBase(l.base(next, row), l.growFrom, now)
		return true
	})
}

// trackVMSet makes accounts that don't exist yet accrue from now on when the VM
// set has changed: until then another VM may have spent the share. When a change is
// settled, that is, acknowledged by every VM, shares that it raises are used only
// after loans from before it have expired: a VM whose share it lowers may have lent
// more than it has left.
func (l *Limiter) trackVMSet(next *catalogue.Catalogue, now time.Time) {
	unsettled := next.Unsettled()
	if (l.unsettled && !unsettled) || next.VMRevision != l.vmRevision {
		if !unsettled {
			l.settled, l.growFrom = now, now.Add(LoanDuration+LoanDrift)
		}
		l.accrueFrom = later(l.accrueFrom, now)
	}
	l.unsettled = unsettled
	l.vmRevision = next.VMRevision
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// trackOrganisations records when organisations appear; their accounts accrue
// from then on. They don't start with the whole burst, since this VM may have
// spent it before a restart, or before the organisation was removed and added
// again.
func (l *Limiter) trackOrganisations(next *catalogue.Catalogue, now time.Time) {
	for name := range next.Organisations {
		if _, known := l.applied.Organisations[name]; known {
			continue
		}
		l.firstSeen[name] = now
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
