package follow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/rig/memnet"
)

// A region is cut off from that of the leader; the third region reaches both.
const (
	regionWay    = 55 * time.Millisecond  // of a message between regions
	farConfirms  = 225 * time.Millisecond // to the leader and from there to a majority
	nearConfirms = 120 * time.Millisecond
	// forwardWait is how long a VM waits for a plan that a request was forwarded by, and
	// the way of that request.
	forwardWait = 250*time.Millisecond + regionWay
)

// partitioned is an entry VM with a control VM of its region and two of the third one.
type partitioned struct {
	*follower
	near *control
	far  [2]*control
	cut  atomic.Bool
	lost atomic.Bool // the first far control VM has no way to the leader either
}

func startPartitioned(t *testing.T) *partitioned {
	network := &memnet.Network{}
	t.Cleanup(func() { time.Sleep(confirmTimeout) }) // rounds of confirmation that still run
	t.Cleanup(network.Close)
	p := &partitioned{near: startControlOn(t, network, "near", "near")}
	p.near.server.Confirm = func(ctx context.Context) (uint64, error) {
		if p.cut.Load() {
			<-ctx.Done()
			return 0, errors.New("the leader doesn't answer")
		}
		time.Sleep(nearConfirms)
		return p.near.vmState.Catalogue.Read().Revision, nil
	}
	for i := range p.far {
		far := startControlOn(t, network, fmt.Sprint("far-", i), "third")
		far.way = regionWay
		far.server.Confirm = func(ctx context.Context) (uint64, error) {
			if i == 0 && p.lost.Load() {
				<-ctx.Done()
				return 0, errors.New("the leader doesn't answer")
			}
			revision := far.vmState.Catalogue.Read().Revision
			time.Sleep(farConfirms)
			return revision, nil
		}
		p.far[i] = far
	}
	p.follower = startFollower(t, p.near, p.far[0], p.far[1])
	p.change(1)
	eventually.Until(t, "the lease holds", p.Lease.Valid)
	time.Sleep(5 * time.Second)
	return p
}

// change puts a revision in force at the control VMs that the leader reaches.
func (p *partitioned) change(revision uint64) {
	for _, c := range p.far {
		c.change(revision, fmt.Sprint(revision))
	}
	if !p.cut.Load() {
		p.near.change(revision, fmt.Sprint(revision))
	}
}

// Entry VMs of the region that was cut off had new configurations so late that they refused
// requests which other regions forwarded by them, and waited for that in vain.
func TestConfigurationsComeThroughAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPartitioned(t)
		p.cut.Store(true)
		time.Sleep(farPollWait + confirmedLately)
		var late []uint64
		for revision := uint64(2); revision < 40; revision++ {
			p.change(revision)
			time.Sleep(forwardWait)
			if !p.has(fmt.Sprint(revision))() {
				late = append(late, revision)
			}
			time.Sleep(time.Duration(revision) * 17 * time.Millisecond)
		}
		if len(late) > 0 {
			t.Errorf("after %v, these revisions of 2 to 39 aren't in force: %v", forwardWait, late)
		}
		count, _ := p.far[0].catalogues()
		other, _ := p.far[1].catalogues()
		if count+other > 50 {
			t.Errorf("%d copies of 39 catalogues were sent through the other region", count+other)
		}
	})
}

// The lease must be renewed through the other region from the first moment of the partition,
// also while the configuration changes all the time, when one of the two control VMs there
// is lost, and after its end.
func TestConfirmationsComeThroughAnotherRegion(t *testing.T) {
	const newestWithin = 4 * time.Second
	for _, every := range []time.Duration{time.Hour, 3 * time.Second, 100 * time.Millisecond} {
		for phase := range 8 {
			synctest.Test(t, func(t *testing.T) {
				p := startPartitioned(t)
				time.Sleep(time.Duration(phase) * 270 * time.Millisecond)
				begun, changed, revision := time.Now(), time.Now(), uint64(1)
				for time.Since(begun) < 14*time.Second {
					p.cut.Store(time.Since(begun) < 9*time.Second)
					p.lost.Store(time.Since(begun) > 5*time.Second)
					if time.Since(changed) >= every {
						changed, revision = time.Now(), revision+1
						p.change(revision)
					}
					if !p.Lease.Within(newestWithin) {
						t.Fatalf("changes every %v: %v after the cut, the newest confirmation is older than %v", every, time.Since(begun), newestWithin)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// While nothing is cut, the control VMs of other regions send no catalogue.
func TestNothingComesThroughAnotherRegionWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPartitioned(t)
		before, _ := p.far[0].catalogues()
		other, _ := p.far[1].catalogues()
		for revision := uint64(2); revision < 20; revision++ {
			p.change(revision)
			time.Sleep(time.Duration(revision) * 70 * time.Millisecond)
		}
		count, _ := p.far[0].catalogues()
		more, _ := p.far[1].catalogues()
		if count+more > before+other || !p.has("19")() {
			t.Errorf("%d catalogues came from another region", count+more-before-other)
		}
	})
}

// While a confirmation was overdue, all control VMs were polled four times a second, also
// where one of another region confirmed. The links of entry VMs are narrow.
func TestPollsDoNotMultiplyWhileAnotherRegionConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPartitioned(t)
		answered := func() (count int) {
			for _, c := range []*control{p.near, p.far[0], p.far[1]} {
				c.mu.Lock()
				count += len(c.sent)
				c.mu.Unlock()
			}
			return count
		}
		polls := func() int {
			begun := answered()
			time.Sleep(10 * time.Second)
			return answered() - begun
		}
		before := polls()
		p.cut.Store(true)
		time.Sleep(farPollWait + confirmedLately)
		if during := polls(); during > before*5/4 {
			t.Errorf("%d polls in 10 s of the partition, %d before it", during, before)
		}
	})
}
