package dispatch

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/target"
)

// newRestricted returns a dispatcher of a VM in the region here, the only one that the
// residency rules allow.
func newRestricted(t *testing.T, kind target.Kind, handlers ...http.Handler) *Dispatcher {
	t.Helper()
	d := newDispatcher(t, kind, handlers...)
	d.VMState.Region = "here"
	restrict(t, d, "here")
	return d
}

// restrict puts a residency rule in force that allows one region.
func restrict(t *testing.T, d *Dispatcher, region string) {
	t.Helper()
	d.VMState.Catalogue.Update(func(c *catalogue.Catalogue) *catalogue.Catalogue {
		next, err := c.With(catalogue.Change{PutResidency: &catalogue.Residency{Name: "rule", Regions: []string{region}}})
		if err != nil {
			t.Error(err)
		}
		return next
	})
}

// The residency rules of a request were those of its arrival: a retry, the rest of a generation
// and what had waited for a target ran in regions that the VM knew to be forbidden by then.
func TestRequestsAreNotSentWhereANewerRuleForbidsIt(t *testing.T) {
	route := catalogue.Route{Name: "r", Service: "s", Repeatable: true}
	deadline := time.Now().Add(time.Minute)
	call := exchange.Request{ID: "r", Route: route, Deadline: deadline, Call: &exchange.Call{Method: http.MethodPost, URL: "/"}}
	check := func(t *testing.T, err error, begun time.Time, asked, want int) {
		t.Helper()
		if fault.CodeOf(err) != fault.Residency || asked != want || time.Since(begun) > waitForTarget/2 {
			t.Errorf("%v after %v; the targets have had the request %d times, want %d", err, time.Since(begun), asked, want)
		}
	}
	t.Run("retry", func(t *testing.T) {
		var d *Dispatcher
		asked := 0
		failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked++
			restrict(t, d, "abroad")
			panic(http.ErrAbortHandler)
		})
		d = newRestricted(t, target.Service, failing, failing)
		begun := time.Now()
		_, err := d.Call(t.Context(), call)
		check(t, err, begun, asked, 1)
	})
	t.Run("rest of a generation", func(t *testing.T) {
		asked := 0
		breaking := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/completions" {
				asked++
			}
			breakingEngine(w, r)
		})
		d := newRestricted(t, target.Engine, breaking, breaking)
		begun := time.Now()
		_, err := d.Generate(t.Context(), exchange.Request{
			ID: "r", Route: route, Deadline: deadline, Generation: &exchange.Generation{Model: "m", Prompt: "p", MaxTokens: 4},
		}, false, func(exchange.Token) error {
			restrict(t, d, "abroad")
			return nil
		})
		check(t, err, begun, asked, 1)
	})
	t.Run("wait for a target", func(t *testing.T) {
		d := newRestricted(t, target.Service)
		var asked atomic.Int64
		late := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
		defer late.Close()
		begun := time.Now()
		time.AfterFunc(200*time.Millisecond, func() {
			restrict(t, d, "abroad")
			d.VMState.Targets.Announce(target.Announcement{
				ID: "late", BootID: "1", Service: "s", Kind: target.Service, Address: late.Listener.Addr().String(), Capacity: 4,
			}, time.Now())
		})
		_, err := d.Call(t.Context(), call)
		check(t, err, begun, int(asked.Load()), 0)
	})
}
