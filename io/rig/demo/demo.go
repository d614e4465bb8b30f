// Package demo shows the whole way of a request on real processes: six VMs in
// three regions, fake targets, an operator and callers.
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
	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/root"
	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/fakeengine"
	"kingcuprill/io/rig/fakeservice"
)

const (
	model         = "lantern-large"
	linkDelay     = 55 * time.Millisecond
	announceEvery = 500 * time.Millisecond
	perToken      = 15 * time.Millisecond
	maxTokens     = 64
	runtime       = 3 * time.Minute // bound for the whole demo
)

var regions = []string{"kolkata", "siliguri", "durgapur"}

// demo is one run.
type demo struct {
	out      io.Writer
	cluster  *cluster.Cluster
	engines  []*fakeengine.Engine
	services []*fakeservice.Service
	ledger   *fakeservice.Ledger
}

// Run shows the demo and leaves nothing behind.
func Run(ctx context.Context, daemonPath string, out io.Writer) (err error) {
	defer fault.Annotate(&err, "demo")
	ctx, cancel := context.WithTimeout(ctx, runtime)
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

func (d *demo) say(format string, args ...any) {
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
	d.say("starting 6 VMs in 3 regions, %v apart", linkDelay)
	if err := d.cluster.Start(ctx); err != nil {
		return err
	}
	for _, region := range regions {
		engine, err := fakeengine.Start(fakeengine.Options{
			ID: "planner-" + region, Service: "planner", Region: region, DataCentre: region + "-a", Models: []string{model},
			Capacity: 8, PerToken: perToken, PerColdByte: 10 * time.Microsecond, CacheBytes: 1 << 20,
			VMs: d.cluster.Targets(region), AnnounceEvery: announceEvery,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, engine)
		desk, err := fakeservice.Start(fakeservice.Options{
			ID: "hire-desk-" + region, Service: "hire-desk", Region: region, DataCentre: region + "-a", Capacity: 8,
			VMs: d.cluster.Targets(region), AnnounceEvery: announceEvery, Ledger: d.ledger,
		})
		if err != nil {
			return err
		}
		d.services = append(d.services, desk)
	}
	d.say("started 3 planner engines and 3 hire-desk services; they announce themselves")
	return nil
}

// operator runs one command of the operators' client.
func (d *demo) operator(ctx context.Context, arguments ...string) (output string, err error) {
	addresses := []string{}
	for _, v := range d.cluster.VMs {
		addresses = append(addresses, v.Operator)
	}
	var out, errOut bytes.Buffer
	full := append(append([]string{}, arguments...), "--vms", strings.Join(addresses, ","), "--token-file", d.cluster.Options.Folder+"/token")
	code := root.Main(ctx, full, factory.Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	d.say("$ kingcuprill %s", strings.Join(arguments, " "))
	first, _, _ := strings.Cut(out.String(), "\n")
	d.say("  %s", first)
	if code != 0 {
		return "", errors.New(errOut.String())
	}
	return out.String(), nil
}

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
	return lines[len(lines)-1], d.inForce(ctx, lines[len(lines)-1])
}

// inForce waits until every VM knows the key.
func (d *demo) inForce(ctx context.Context, key string) error {
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
	d.say("the key is in force on all VMs after %v", time.Since(started).Round(10*time.Millisecond))
	return d.settled(ctx)
}

// settled waits until the VMs hold their limit shares.
func (d *demo) settled(ctx context.Context) error {
	for ctx.Err() == nil {
		var out bytes.Buffer
		code := root.Main(ctx, []string{"vm", "list", "--vms", d.cluster.VMs[0].Operator, "--token-file", d.cluster.Options.Folder + "/token"},
			factory.Streams{Out: &out, Err: io.Discard})
		if code == 0 && strings.Count(out.String(), "\tactive\n") == len(d.cluster.VMs) {
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
	d.say("\nthe caller asks %s which VMs to use:", d.cluster.VMs[0].ID)
	for _, v := range vms {
		d.say("  %s in %s at %s", v.ID, v.Region, v.Address)
	}
	if err := d.plan(ctx, c, vms[0]); err != nil {
		return err
	}
	if err := d.away(ctx, c); err != nil {
		return err
	}
	if err := d.book(ctx, c, vms); err != nil {
		return err
	}
	return d.refusals(ctx, c)
}

func (d *demo) plan(ctx context.Context, c *client.Client, v client.VM) error {
	prompt := "A lighting plan for the riverside mela, tokens=40"
	answer, err := c.Complete(ctx, v.Address, model, prompt, maxTokens, nil)
	if err != nil {
		return err
	}
	if answer.Text != fakeengine.Answer(model, prompt, maxTokens) {
		return errors.New("the answer is not whole")
	}
	d.say("\na lighting plan through %s: 40 tokens, whole; the first after %v, all after %v",
		v.ID, answer.FirstToken.Round(time.Millisecond), answer.Took.Round(time.Millisecond))
	return nil
}

// away stops the engine of the caller's region, so that the request crosses to
// another one.
func (d *demo) away(ctx context.Context, c *client.Client) error {
	d.engines[0].Leave()
	prompt := "A plan while the engine of Kolkata leaves, tokens=20"
	answer, err := c.Complete(ctx, d.cluster.VMs[0].Caller, model, prompt, maxTokens, nil)
	if err != nil {
		return err
	}
	if answer.Text != fakeengine.Answer(model, prompt, maxTokens) {
		return errors.New("the answer from another region is not whole")
	}
	for _, seen := range d.engines[1].Seen() {
		if strings.Contains(seen.Body, "Kolkata leaves") {
			return errors.New("the request ran in siliguri, outside its residency")
		}
	}
	d.say("kolkata's engine leaves; the next plan through kolkata-1 runs in durgapur, whole, after %v", answer.Took.Round(time.Millisecond))
	return nil
}

func (d *demo) book(ctx context.Context, c *client.Client, vms []client.VM) error {
	const item = `{"item":"forty lanterns for the pandal"}`
	status, first, err := c.Call(ctx, "POST", vms[0].Address, "/services/deposits/bookings", "pandal-40", item)
	if err != nil {
		return err
	}
	d.say("\na deposit hold through %s: status %d %s", vms[0].ID, status, first)
	other := vms[len(vms)-1]
	_, second, err := c.Call(ctx, "POST", other.Address, "/services/deposits/bookings", "pandal-40", item)
	if err != nil {
		return err
	}
	if runs := d.ledger.Runs("forty lanterns for the pandal"); runs != 1 || first != second {
		return fmt.Errorf("the hold ran %d times, answers %q and %q", runs, first, second)
	}
	d.say("sent again through %s: the same answer; the desk ran it once", other.ID)
	return nil
}

func (d *demo) refusals(ctx context.Context, c *client.Client) error {
	_, err := c.Complete(ctx, d.cluster.VM("siliguri-1").Caller, model, "hello", maxTokens, nil)
	var refusal *client.Refusal
	if !errors.As(err, &refusal) || refusal.Code != string(fault.Residency) || !refusal.NotRun {
		return fmt.Errorf("a request outside its residency was answered with: %w", err)
	}
	d.say("\nthrough siliguri-1, outside its residency: %v", refusal)
	if _, err := d.operator(ctx, "key", "withdraw", "puja-lights-web"); err != nil {
		return err
	}
	_, err = c.Complete(ctx, d.cluster.VM("durgapur-2").Caller, model, "hello", maxTokens, nil)
	if !errors.As(err, &refusal) || refusal.Code != string(fault.Unauthenticated) {
		return fmt.Errorf("a withdrawn key was answered with: %w", err)
	}
	d.say("through durgapur-2, after the withdrawal: %v", refusal)
	d.say("\nthe demo is done")
	return nil
}
