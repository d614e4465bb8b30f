package acceptance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kingcuprill/core/fault"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/fakeservice"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

const (
	historyDuration = 9 * time.Second
	operatorPause   = 60 * time.Millisecond // keeps the history short enough for the linearizability check
)

// newClusterScenario starts three VMs in three regions and waits until the
// catalogue lists all as active.
func newClusterScenario(t *testing.T) *scenario {
	t.Helper()
	s := newScenario(t.TempDir())
	t.Cleanup(s.close)
	if _, err := startCluster(s, []string{"commit=2s"}); err != nil {
		t.Fatal(err)
	}
	return s
}

// injectFaults kills and restarts the first VM, then cuts off the second VM's
// region and reconnects it, at even intervals within historyDuration.
func injectFaults(t *testing.T, s *scenario) {
	t.Helper()
	first, second := s.cluster.VMs[0], s.cluster.VMs[1]
	steps := []func() error{
		func() error { s.cluster.Kill(first); return nil },
		func() error { return s.cluster.StartVM(first) },
		func() error { return s.cluster.CutRegion(second.Region) },
		func() error { return s.cluster.HealRegion(second.Region) },
	}
	for _, step := range steps {
		time.Sleep(historyDuration / 5)
		if err := step(); err != nil {
			t.Error(err)
		}
	}
}

// request is one operator call: a read of the catalogue's revision, or a change
// that is conditional on the expected revision.
type request struct {
	read     bool
	expected uint64
}

// answer is the result of a request.
type answer struct {
	revision uint64
	stale    bool // the change was rejected: another revision was current
	unknown  bool // no definite result: the change may have taken effect or may still do so
}

// revisionModel is the sequential specification of the catalogue's revision: a
// change takes effect only at its expected revision and increments it.
var revisionModel = porcupine.NondeterministicModel{
	Init: func() []interface{} { return []interface{}{uint64(0)} },
	Step: func(current, input, output interface{}) []interface{} {
		revision, r, a := current.(uint64), input.(request), output.(answer)
		applies := r.expected == revision
		switch {
		case r.read && a.unknown:
			return []interface{}{revision}
		case r.read && a.revision == revision:
			return []interface{}{revision}
		case r.read:
			return nil
		case a.unknown && applies:
			return []interface{}{revision, revision + 1}
		case a.unknown, a.stale && !applies:
			return []interface{}{revision}
		case !a.stale && applies && a.revision == revision+1:
			return []interface{}{revision + 1}
		}
		return nil
	},
	Equal: func(a, b interface{}) bool { return a.(uint64) == b.(uint64) },
}

// TestOperatorsHistory records concurrent reads and changes by operators at all
// VMs while a VM is killed and a region is cut off, and checks that the history
// is linearizable.
func TestOperatorsHistory(t *testing.T) {
	s := newClusterScenario(t)
	base := readRevision(t, s)
	started := time.Now()
	var mu sync.Mutex
	history := []porcupine.Operation{}
	var group sync.WaitGroup
	for i, v := range s.cluster.VMs {
		for j := range 2 {
			group.Go(func() {
				operations := runOperator(v, s.cluster.Operator(v), i*2+j, base, started)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, operations...)
			})
		}
	}
	injectFaults(t, s)
	group.Wait()
	effective := 0
	for _, o := range history {
		if a := o.Output.(answer); !o.Input.(request).read && !a.unknown && !a.stale {
			effective++
		}
	}
	if effective < 10 {
		t.Fatalf("only %d changes took effect, too few for a meaningful linearizability check", effective)
	}
	model := revisionModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, history, time.Minute); result != porcupine.Ok {
		t.Fatalf("the history of %d operations is not linearizable: %v", len(history), result)
	}
}

// TestHistoryCheckFindsDoubleWin checks that the model rejects a history in which
// two changes succeed at the same revision, and one in which a later read
// returns an older revision.
func TestHistoryCheckFindsDoubleWin(t *testing.T) {
	twoWinners := []porcupine.Operation{
		{ClientId: 0, Input: request{expected: 0}, Output: answer{revision: 1}, Call: 0, Return: 10},
		{ClientId: 1, Input: request{expected: 0}, Output: answer{revision: 1}, Call: 5, Return: 15},
	}
	staleRead := []porcupine.Operation{
		{ClientId: 0, Input: request{expected: 0}, Output: answer{revision: 1}, Call: 0, Return: 10},
		{ClientId: 1, Input: request{read: true}, Output: answer{revision: 0}, Call: 15, Return: 20},
	}
	for _, history := range [][]porcupine.Operation{twoWinners, staleRead} {
		if result := porcupine.CheckOperationsTimeout(revisionModel.ToModel(), history, time.Minute); result != porcupine.Illegal {
			t.Errorf("the check returned %v for a history that is not linearizable", result)
		}
	}
}

func readRevision(t *testing.T, s *scenario) uint64 {
	t.Helper()
	read, err := s.cluster.Operator(s.cluster.VMs[0]).GetCatalogue(context.Background(), &operator.GetCatalogueRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return read.GetCatalogue().GetRevision()
}

// runOperator alternates reads and changes at one VM and records them. Revisions
// are relative to base, call times to started, in nanoseconds.
func runOperator(v *cluster.VM, rpc operator.Operator, id int, base uint64, started time.Time) (history []porcupine.Operation) {
	last := uint64(0)
	for number := 0; time.Since(started) < historyDuration; number++ {
		r := request{read: number%2 == 0, expected: last}
		o := porcupine.Operation{ClientId: id, Input: r, Call: int64(time.Since(started))}
		a := send(rpc, r, base, fmt.Sprintf("%s-%d-%d", v.ID, id, number))
		o.Return = int64(time.Since(started))
		if a.unknown {
			o.Return = int64(time.Hour) // the change may take effect at any later time
			id += 100                   // the model allows a client one open call; go on as a new client
		}
		o.Output = a
		if !a.unknown {
			last = max(last, a.revision)
		}
		if !a.unknown || !r.read { // a read without an answer constrains nothing
			history = append(history, o)
		}
		time.Sleep(operatorPause)
	}
	return history
}

func send(rpc operator.Operator, r request, base uint64, id string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if r.read {
		read, err := rpc.GetCatalogue(ctx, &operator.GetCatalogueRequest{})
		if err != nil {
			return answer{unknown: true}
		}
		return answer{revision: read.GetCatalogue().GetRevision() - base}
	}
	change := &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{Name: "o", RatePerSecond: 1, Burst: 1, Weight: 1}}}
	mutated, err := rpc.Mutate(ctx, &operator.MutateRequest{RequestId: id, ExpectedRevision: base + r.expected, Change: change})
	switch {
	case err == nil:
		return answer{revision: mutated.GetRevision() - base}
	case fault.CodeOf(peer.FromTwirp(err)) == fault.StaleRevision:
		return answer{stale: true}
	}
	return answer{unknown: true}
}

// outcome counts the answers to the requests for one booking.
type outcome struct {
	answered int
	notRun   int
	unknown  int
}

// TestBookingsUnderFaults sends each booking several times through random VMs
// while a VM is killed, a region is cut off and answers are lost. No booking runs
// twice, an answered one has run, and one that was only ever refused as not run
// has not run.
func TestBookingsUnderFaults(t *testing.T) {
	s := newClusterScenario(t)
	for _, region := range s.cluster.Options.Regions[:2] {
		if _, err := startService(s, []string{"desk-" + region, region}); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range [][]string{
		{"organisation", "set", "puja", "--rate", "100000", "--burst", "200000"},
		{"route", "set", "deposits", "--kind", "service", "--service", "hire-desk", "--deadline", "4s"},
	} {
		if _, err := runClient(s, step); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := grantKey(s, []string{"web", "puja"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second) // longer than limit.StartupDelay, during which rate limits accrue nothing
	outcomes := bookAll(t, s)
	answered, refused := 0, 0
	for item, o := range outcomes {
		runs := s.ledger.Runs(item)
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", item, runs)
		case o.answered > 0 && runs != 1:
			t.Errorf("%s was answered and ran %d times", item, runs)
		case o.answered == 0 && o.unknown == 0 && runs != 0:
			t.Errorf("%s was refused %d times as not run, and ran", item, o.notRun)
		}
		if o.answered > 0 {
			answered++
		}
		if o.notRun > 0 {
			refused++
		}
	}
	t.Logf("%d bookings: %d answered, %d refused as not run at least once", len(outcomes), answered, refused)
	if answered < 10 {
		t.Errorf("only %d bookings were answered, too few for a meaningful check", answered)
	}
}

// bookAll sends bookings from several workers while faults are injected, and
// returns the outcomes by item.
func bookAll(t *testing.T, s *scenario) map[string]outcome {
	t.Helper()
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	started := time.Now()
	var group sync.WaitGroup
	for worker := range 6 {
		random := rand.New(rand.NewPCG(uint64(worker), 1))
		group.Go(func() {
			for number := 0; time.Since(started) < historyDuration; number++ {
				item := fmt.Sprint("item-", number/2) // two requests per item and worker; workers share the items
				v := s.cluster.VMs[random.IntN(len(s.cluster.VMs))]
				result := bookOnce(s, v, item)
				mu.Lock()
				total := outcomes[item]
				outcomes[item] = outcome{total.answered + result.answered, total.notRun + result.notRun, total.unknown + result.unknown}
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		for time.Since(started) < historyDuration {
			for _, service := range s.services {
				service.SetFault([]fakeservice.Fault{fakeservice.NoFault, fakeservice.NoFault, fakeservice.LoseAnswer}[rand.IntN(3)])
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	injectFaults(t, s)
	group.Wait()
	return outcomes
}

func bookOnce(s *scenario, v *cluster.VM, item string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, _, err := s.client("web").Call(ctx, "POST", v.Caller, "/services/deposits/bookings", item, fmt.Sprintf("{%q:%q}", "item", item))
	var refusal *client.Refusal
	switch {
	case err == nil:
		return outcome{answered: 1}
	case errors.As(err, &refusal) && refusal.NotRun:
		return outcome{notRun: 1}
	}
	return outcome{unknown: 1}
}
