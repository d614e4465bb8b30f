// Package demo demonstrates the gateway on six daemon processes in three regions
// with fake targets. An operator configures it with the command line; a caller
// then sends completions, an idempotent booking, and requests that are refused.
// Each step is printed and checked.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/limit"
	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/root"
	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/fakeengine"
	"kingcuprill/io/rig/fakeservice"
)

const (
	model         = "lantern-large"
	linkDelay     = 55 * time.Millisecond // one way
	announceEvery = 500 * time.Millisecond
	perToken      = 15 * time.Millisecond
	maxTokens     = 64
	demoTimeout   = 3 * time.Minute // limit for the whole demo
)

var regions = []string{"kolkata", "siliguri", "durgapur"}

// demo is one run of the demonstration.
type demo struct {
	out      io.Writer
	cluster  *cluster.Cluster
	engines  []*fakeengine.Engine
	services []*fakeservice.Service
	ledger   *fakeservice.Ledger
}

// Run carries out the demonstration with the daemon program at a path. It fails
// at the first step with an unexpected result, or after three minutes. It ends
// all processes and deletes all files before it returns.
func Run(ctx context.Context, daemonPath string, out io.Writer) (err error) {
	defer fault.Annotate(&err, "demo")
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "kingcuprill-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d := &demo{out: out, ledger: fakeservice.NewLedger()}
	defer d.close()
	if err := d.start(ctx, folder, daemonPath); err != nil {
		return err
	}
	key, err := d.configure(ctx)
	if err != nil {
		return err
	}
	return d.call(ctx, client.New(key))
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) close() {
	for _, e := range d.engines {
		e.Stop()
	}
	for _, s := range d.services {
		s.Stop()
	}
	if d.cluster != nil {
		d.cluster.Close()
	}
}

func (d *demo) start(ctx context.Context, folder, daemonPath string) (err error) {
	d.cluster, err = cluster.New(cluster.Options{
		Folder: folder, Daemon: daemonPath, Regions: regions, VMs: 2, ControlVMs: 3, LinkDelay: linkDelay,
		Settings: cluster.Overrides{Drain: time.Second},
	})
	if err != nil {
		return err
	}
	d.printf("starting 6 VMs in 3 regions, %v apart", linkDelay)
	if err := d.cluster.Start(ctx); err != nil {
		return err
	}
	for _, region := range regions {
		engine, err := fakeengine.Start(fakeengine.Options{
			ID: "planner-" + region, Service: "planner", Region: region, DataCentre: region + "-a", Models: []string{model},
			Capacity: 8, PerToken: perToken, PerColdByte: 10 * time.Microsecond, CacheBytes: 1 << 20,
			VMs: d.cluster.TargetAddresses(region), AnnounceEvery: announceEvery,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, engine)
		service, err := fakeservice.Start(fakeservice.Options{
			ID: "hire-desk-" + region, Service: "hire-desk", Region: region, DataCentre: region + "-a", Capacity: 8,
			VMs: d.cluster.TargetAddresses(region), AnnounceEvery: announceEvery, Ledger: d.ledger,
		})
		if err != nil {
			return err
		}
		d.services = append(d.services, service)
	}
	d.printf("started 3 planner engines and 3 hire-desk services; they announce themselves")
	return nil
}

// operator runs one kingcuprill command, prints it with the first line of its
// output, and returns the output.
func (d *demo) operator(ctx context.Context, arguments ...string) (output string, err error) {
	addresses := []string{}
	for _, v := range d.cluster.VMs {
		addresses = append(addresses, v.Operator)
	}
	var out, errOut bytes.Buffer
	withFlags := append(append([]string{}, arguments...), "--vms", strings.Join(addresses, ","), "--token-file", d.cluster.Options.Folder+"/token")
	code := root.Main(ctx, withFlags, factory.Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	d.printf("$ kingcuprill %s", strings.Join(arguments, " "))
	first, _, _ := strings.Cut(out.String(), "\n")
	d.printf("  %s", first)
	if code != 0 {
		return "", errors.New(errOut.String())
	}
	return out.String(), nil
}

// configure writes the configuration and returns a granted API key when it is in
// force.
func (d *demo) configure(ctx context.Context) (key string, err error) {
	steps := [][]string{
		{"organisation", "set", "puja-lights", "--rate", "5000", "--burst", "20000"},
		{"route", "set", "plans", "--service", "planner", "--models", model, "--repeatable", "--deadline", "30s"},
		{"route", "set", "deposits", "--kind", "service", "--service", "hire-desk", "--deadline", "20s"},
		{"residency", "set", "bengal-west", "--organisation", "puja-lights", "--regions", "kolkata,durgapur"},
	}
	for _, step := range steps {
		if _, err := d.operator(ctx, step...); err != nil {
			return "", err
		}
	}
	output, err := d.operator(ctx, "key", "grant", "puja-lights-web", "--organisation", "puja-lights")
	if err != nil {
		return "", err
	}
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1], d.waitKeyInForce(ctx, lines[len(lines)-1])
}

// waitKeyInForce waits until every VM accepts the key.
func (d *demo) waitKeyInForce(ctx context.Context, key string) error {
	started := time.Now()
	c := client.New(key)
	for _, v := range d.cluster.VMs {
		for {
			if _, err := c.VMs(ctx, v.Caller); err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("vm %s does not know the key: %w", v.ID, ctx.Err())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	d.printf("the key is in force on all VMs after %v", time.Since(started).Round(10*time.Millisecond))
	return d.waitSettled(ctx)
}

// waitSettled waits until all VMs have an active limit share and use it: loans from
// before the last VM joined must have expired.
func (d *demo) waitSettled(ctx context.Context) error {
	for ctx.Err() == nil {
		var out bytes.Buffer
		code := root.Main(ctx, []string{"vm", "list", "--vms", d.cluster.VMs[0].Operator, "--token-file", d.cluster.Options.Folder + "/token"},
			factory.Streams{Out: &out, Err: io.Discard})
		if code == 0 && strings.Count(out.String(), "\tactive\n") == len(d.cluster.VMs) {
			time.Sleep(limit.LoanDuration + limit.LoanDrift)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

func (d *demo) call(ctx context.Context, c *client.Client) error {
	vms, err := c.VMs(ctx, d.cluster.VMs[0].Caller)
	if err != nil {
		return err
	}
	d.printf("\nthe caller asks %s which VMs to use:", d.cluster.VMs[0].ID)
	for _, v := range vms {
		d.printf("  %s in %s at %s", v.ID, v.Region, v.Address)
	}
	if err := d.complete(ctx, c, vms[0]); err != nil {
		return err
	}
	if err := d.completeInOtherRegion(ctx, c); err != nil {
		return err
	}
	if err := d.bookTwice(ctx, c, vms); err != nil {
		return err
	}
	return d.checkRefusals(ctx, c)
}

// complete checks a completion in the caller's region.
func (d *demo) complete(ctx context.Context, c *client.Client, v client.VM) error {
	prompt := "A lighting plan for the riverside mela, tokens=40"
	answer, err := c.Complete(ctx, v.Address, model, prompt, maxTokens, nil)
	if err != nil {
		return err
	}
	if answer.Text != fakeengine.Answer(model, prompt, maxTokens) {
		return errors.New("the answer is not whole")
	}
	d.printf("\na lighting plan through %s: 40 tokens, whole; the first after %v, all after %v",
		v.ID, answer.FirstToken.Round(time.Millisecond), answer.Took.Round(time.Millisecond))
	return nil
}

// completeInOtherRegion lets the engine of the caller's region leave, so that
// the request is sent to another region, and checks that residency is kept.
func (d *demo) completeInOtherRegion(ctx context.Context, c *client.Client) error {
	d.engines[0].Leave()
	prompt := "A plan while the engine of Kolkata leaves, tokens=20"
	answer, err := c.Complete(ctx, d.cluster.VMs[0].Caller, model, prompt, maxTokens, nil)
	if err != nil {
		return err
	}
	if answer.Text != fakeengine.Answer(model, prompt, maxTokens) {
		return errors.New("the answer from another region is not whole")
	}
	for _, seen := range d.engines[1].Received() {
		if strings.Contains(seen.Body, "Kolkata leaves") {
			return errors.New("the request ran in siliguri, outside its residency")
		}
	}
	d.printf("kolkata's engine leaves; the next plan through kolkata-1 runs in durgapur, whole, after %v", answer.Took.Round(time.Millisecond))
	return nil
}

// bookTwice sends a booking twice with one idempotency key through different
// VMs and checks that it ran once.
func (d *demo) bookTwice(ctx context.Context, c *client.Client, vms []client.VM) error {
	const item = `{"item":"forty lanterns for the pandal"}`
	status, first, err := c.Call(ctx, "POST", vms[0].Address, "/services/deposits/bookings", "pandal-40", item)
	if err != nil {
		return err
	}
	d.printf("\na deposit hold through %s: status %d %s", vms[0].ID, status, first)
	other := vms[len(vms)-1]
	_, second, err := c.Call(ctx, "POST", other.Address, "/services/deposits/bookings", "pandal-40", item)
	if err != nil {
		return err
	}
	if runs := d.ledger.Runs("forty lanterns for the pandal"); runs != 1 || first != second {
		return fmt.Errorf("the hold ran %d times, answers %q and %q", runs, first, second)
	}
	d.printf("sent again through %s: the same answer; the desk ran it once", other.ID)
	return nil
}

// checkRefusals checks that a request outside its residency and one with a
// withdrawn key are refused.
func (d *demo) checkRefusals(ctx context.Context, c *client.Client) error {
	_, err := c.Complete(ctx, d.cluster.VM("siliguri-1").Caller, model, "hello", maxTokens, nil)
	var refusal *client.Refusal
	if !errors.As(err, &refusal) || refusal.Code != string(fault.Residency) || !refusal.NotRun {
		return fmt.Errorf("a request outside its residency was answered with: %w", err)
	}
	d.printf("\nthrough siliguri-1, outside its residency: %v", refusal)
	if _, err := d.operator(ctx, "key", "withdraw", "puja-lights-web"); err != nil {
		return err
	}
	_, err = c.Complete(ctx, d.cluster.VM("durgapur-2").Caller, model, "hello", maxTokens, nil)
	if !errors.As(err, &refusal) || refusal.Code != string(fault.Unauthenticated) {
		return fmt.Errorf("a withdrawn key was answered with: %w", err)
	}
	d.printf("through durgapur-2, after the withdrawal: %v", refusal)
	d.printf("\nthe demo is done")
	return nil
}
