package propose

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// world is a control log and the VMs that take orders for it, in virtual time.
type world struct {
	t     *testing.T
	group sync.WaitGroup
	mu    sync.Mutex // guards the rest, and the fields of VMs
	state *control.State
}

func newWorld(t *testing.T) *world {
	return &world{t: t, state: control.New()}
}

// accepting is a control VM that takes orders and hands them to the leader. A cut holds
// up what it sends and is sent.
type accepting struct {
	*world
	revision uint64 // that it knows
	cutUntil time.Time
	delay    time.Duration
}

// apply carries out a command, in the order in which commands arrive.
func (w *world) apply(message *state.Command) control.Result {
	command, err := codec.ToCommand(message)
	if err != nil {
		w.t.Errorf("the command can't be read: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Apply(command)
}

// isEvacuated reports whether the data centre is evacuated.
func (w *world) isEvacuated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Catalogue.Evacuated["d"]
}

func (v *accepting) cut(duration time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutUntil = time.Now().Add(duration)
}

// pass waits until a message has passed the VM's link to the leader.
func (v *accepting) pass() {
	v.mu.Lock()
	until := v.cutUntil
	v.mu.Unlock()
	time.Sleep(max(0, time.Until(until)) + v.delay)
}

func (v *accepting) propose(ctx context.Context, command *state.Command) (control.Result, error) {
	answer := make(chan control.Result, 1)
	v.group.Go(func() {
		v.pass()
		result := v.apply(command)
		v.pass()
		answer <- result
	})
	select {
	case result := <-answer:
		return result, nil
	case <-ctx.Done():
		return control.Result{}, fault.New(fault.OutcomeUnknown, "no answer in time")
	}
}

// learn takes over the leader's revision.
func (v *accepting) learn() {
	v.mu.Lock()
	newest := v.state.Catalogue.Revision
	v.mu.Unlock()
	v.pass()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision = newest
}

// order gives an order to this VM and waits for a second. It reports whether the order
// is acknowledged.
func (v *accepting) order(ended bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begun := time.Now()
	v.mu.Lock()
	given := Order{revision: v.revision, age: func() time.Duration { return time.Since(begun) }, lead: notLeading, propose: v.propose}
	v.mu.Unlock()
	_, err := given.Commit(ctx, evacuation(ended))
	return err == nil
}

func notLeading(context.Context, *state.Command) (control.Result, error) {
	return control.Result{}, fault.New(fault.NoQuorum, "another replica leads")
}

func evacuation(ended bool) *state.Change {
	return codec.FromChange(catalogue.Change{SetEvacuation: &catalogue.Evacuation{DataCentre: "d", Ended: ended}})
}

// An order is sent to a VM that is cut off, then again to another one, which acknowledges
// it; so is a newer one. What the first VM was given must not come into force after the cut.
func TestLateCopyOfAnEvacuationChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		near, behind := &accepting{world: w, delay: time.Millisecond}, &accepting{world: w, delay: time.Millisecond}
		if !near.order(false) {
			t.Fatal("the first start isn't acknowledged")
		}
		near.learn()
		behind.learn()
		behind.cut(5 * time.Second)
		if behind.order(true) || !near.order(true) {
			t.Fatal("the end isn't acknowledged, or by the VM that is cut off")
		}
		time.Sleep(2 * time.Second)
		if !near.order(false) {
			t.Fatal("the second start isn't acknowledged")
		}
		w.group.Wait()
		if !w.isEvacuated() {
			t.Error("an end is in force after the start that was acknowledged later than its repetition")
		}
	})
}

// An operator gives orders, one after the other, each until it is acknowledged, to any
// VM, while cuts come and go and the catalogue changes for other reasons.
func TestLateCopiesOfEvacuationsChangeNothing(t *testing.T) {
	const seeds = 150
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { giveOrders(t, seed) })
		})
	}
}

func giveOrders(t *testing.T, seed uint64) {
	const orders, mostTries = 12, 40
	w := newWorld(t)
	defer w.group.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 0))
	var vms []*accepting
	for i := range uint64(3) {
		v := &accepting{world: w, delay: wait(random, 110)}
		vms = append(vms, v)
		own := rand.New(rand.NewPCG(seed, i+1))
		w.repeat(ctx, v.learn)
		w.repeat(ctx, func() {
			time.Sleep(wait(own, 10000))
			v.cut(wait(own, 6000))
		})
	}
	version, own := uint64(0), rand.New(rand.NewPCG(seed, 9))
	w.repeat(ctx, func() {
		version++
		w.apply(&state.Command{AnyRevision: true, Kind: &state.Command_Change{Change: codec.FromChange(catalogue.Change{
			PutPlan: &catalogue.Plan{Version: version, Document: []byte("{}")},
		})}})
		time.Sleep(wait(own, 4000))
	})
	for range orders {
		ended := random.IntN(2) == 0
		tries := 1
		for ; !vms[random.IntN(len(vms))].order(ended); tries++ {
			time.Sleep(wait(random, 200))
		}
		if tries > mostTries {
			t.Errorf("an order took %d tries", tries)
		}
		time.Sleep(wait(random, 12000))
		if w.isEvacuated() == ended {
			t.Errorf("the order acknowledged last (end: %v) is no longer in force", ended)
		}
	}
}

// repeat runs a step again and again until the context ends.
func (w *world) repeat(ctx context.Context, step func()) {
	w.group.Go(func() {
		for ctx.Err() == nil {
			step()
		}
	})
}

// wait returns a time of at most some milliseconds.
func wait(random *rand.Rand, most int) time.Duration {
	return time.Duration(1+random.IntN(most)) * time.Millisecond
}

// A VM that stands still while the catalogue changes must not go on with an order for the
// newer revision: its operator may have given later orders to other VMs meanwhile.
func TestOrderIsNotRenewedByAVMThatStoodStill(t *testing.T) {
	const newest = 7 // revision
	for stood, wanted := range map[time.Duration]int{0: 2, 2 * time.Second: 1} {
		begun, proposed := time.Now(), 0
		given := Order{revision: 5, lead: notLeading, age: func() time.Duration { return stood + time.Since(begun) }}
		given.propose = func(_ context.Context, command *state.Command) (control.Result, error) {
			proposed++
			if command.GetAnyRevision() || command.GetExpectedRevision() != newest {
				return control.Result{Revision: newest, Err: fault.New(fault.StaleRevision, "another revision")}, nil
			}
			return control.Result{Revision: newest + 1}, nil
		}
		_, err := given.Commit(t.Context(), evacuation(true))
		if proposed != wanted || (wanted == 1) != (fault.CodeOf(err) == fault.StaleRevision && err != nil) {
			t.Errorf("after %v: proposed %d times, error %v", stood, proposed, err)
		}
	}
}

// The answer to an order is lost, and another operator gives one, before it is proposed
// again. It must be acknowledged and not be carried out a second time.
func TestOrderWhoseAnswerIsLostIsCarriedOutOnce(t *testing.T) {
	w := newWorld(t)
	w.apply(&state.Command{AnyRevision: true, Kind: &state.Command_Change{Change: evacuation(false)}})
	age := time.Duration(0)
	given := Order{revision: 1, lead: notLeading, age: func() time.Duration { age += renewableFor / 3; return age }}
	given.propose = func(_ context.Context, command *state.Command) (control.Result, error) {
		if w.apply(command).Err == nil && !w.isEvacuated() {
			w.apply(&state.Command{AnyRevision: true, Kind: &state.Command_Change{Change: evacuation(false)}})
		}
		return w.apply(command), nil
	}
	if _, err := given.Commit(t.Context(), evacuation(true)); err != nil || !w.isEvacuated() {
		t.Errorf("error %v; the other operator's start is in force: %v", err, w.isEvacuated())
	}
}

// While the configuration changes again and again, each change overtakes an order for the
// revision before. The leader itself must still carry it out.
func TestOrdersAreCarriedOutWhileTheConfigurationChanges(t *testing.T) {
	w := newWorld(t)
	version := uint64(0)
	overtaken := func(_ context.Context, command *state.Command) (control.Result, error) {
		version++
		plan := catalogue.Change{PutPlan: &catalogue.Plan{Version: version, Document: []byte("{}")}}
		w.apply(&state.Command{AnyRevision: true, Kind: &state.Command_Change{Change: codec.FromChange(plan)}})
		return w.apply(command), nil
	}
	begun := time.Now()
	given := Order{age: func() time.Duration { return time.Since(begun) }, lead: overtaken, propose: overtaken}
	if _, err := given.Commit(t.Context(), evacuation(false)); err != nil || !w.isEvacuated() {
		t.Errorf("error %v; the data centre is evacuated: %v", err, w.isEvacuated())
	}
}

// An order that was held up comes when its caller has closed the connection already, and
// has sent it to another VM. It must not be proposed.
func TestLateOrderOfACallerThatHasGoneIsNotProposed(t *testing.T) {
	done := make(chan error, 1)
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		given := Order{age: func() time.Duration { return 0 }, lead: notLeading}
		given.propose = func(context.Context, *state.Command) (control.Result, error) { return control.Result{}, nil }
		_, err := given.Commit(r.Context(), evacuation(true))
		done <- err
	}))
	conn, err := net.Dial("tcp", web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
	_ = conn.Close()
	web.Start()
	t.Cleanup(web.Close)
	if err := <-done; err == nil {
		t.Error("the order is proposed")
	}
}
