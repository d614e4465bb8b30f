// Package cluster runs a small deployment of the gateway for tests and
// experiments: one daemon process for each VM, on loopback addresses, with
// fault-injecting proxies between VMs of different regions.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/io/cli/dial"
	"kingcuprill/io/rig/link"
	"kingcuprill/rpc/operator"
)

// Options configure a deployment.
type Options struct {
	Folder      string        // for settings, secrets, data folders and logs; must exist
	Daemon      string        // path of the kingcuprilld program
	Regions     []string      // one data centre each
	VMs         int           // in each region
	LinkDelay   time.Duration // one way, between regions
	Links       bool          // links between regions, also without a delay
	Settings    Overrides
	ControlVMs  int // number of control VMs: the first VM of each of the first regions
	PolicyName  string
	AwayPenalty time.Duration
	NoLoans     bool // VMs don't borrow limit tokens from each other
}

// Overrides are settings of all daemons; a zero field leaves the daemon's
// default.
type Overrides struct {
	Drain       time.Duration
	Shutdown    time.Duration
	Silence     time.Duration
	QueueWait   time.Duration
	Lease       time.Duration
	Commit      time.Duration
	ServiceTime time.Duration
	RampTime    time.Duration
	LogLevel    string
}

// VM is one daemon of the deployment.
type VM struct {
	ID         string
	Region     string
	DataCentre string
	Peer       string // address for other VMs
	Caller     string // address for callers
	Target     string // address for the announcements of targets
	Operator   string // address for operators
	Settings   string // path of its settings file
	Log        string // path of its log
	Control    bool   // holds a replica of the control log
	command    *exec.Cmd
	exited     chan struct{} // closed when the process has ended
	exitError  error
}

// Cluster is a deployment. Its methods are not safe for concurrent use, except
// those that only read it.
type Cluster struct {
	Options Options
	Token   string // operator token
	VMs     []*VM
	links   map[pair]*link.Link
}

type pair struct {
	from string
	to   string
}

const (
	secretText   = "a-secret-for-the-rig-only"
	tokenText    = "an-operator-token-for-the-rig"
	readyTimeout = 30 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// New chooses the addresses of a deployment, starts its links and writes the
// settings. It starts no daemon.
func New(options Options) (c *Cluster, err error) {
	defer fault.Annotate(&err, "prepare a deployment in %s", options.Folder)
	c = &Cluster{Options: options, Token: tokenText, links: map[pair]*link.Link{}}
	for _, secret := range []struct{ name, text string }{{"secret", secretText}, {"token", tokenText}} {
		if err := os.WriteFile(filepath.Join(options.Folder, secret.name), []byte(secret.text), 0o600); err != nil {
			return nil, err
		}
	}
	if err := c.addVMs(); err != nil {
		return nil, err
	}
	if err := c.makeLinks(); err != nil {
		return nil, err
	}
	for _, v := range c.VMs {
		if err := c.writeSettings(v); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// addVMs adds the VMs, with addresses and file names.
func (c *Cluster) addVMs() error {
	for i := range c.Options.VMs {
		for r, region := range c.Options.Regions {
			v := &VM{ID: fmt.Sprintf("%s-%d", region, i+1), Region: region, DataCentre: region + "-a", Control: i == 0 && r < c.Options.ControlVMs}
			for _, address := range []*string{&v.Peer, &v.Caller, &v.Target, &v.Operator} {
				free, err := link.FreeAddress()
				if err != nil {
					return err
				}
				*address = free
			}
			v.Settings = filepath.Join(c.Options.Folder, v.ID+".json")
			v.Log = filepath.Join(c.Options.Folder, v.ID+".log")
			c.VMs = append(c.VMs, v)
		}
	}
	return nil
}

// makeLinks starts a link for each ordered pair of VMs of different regions,
// where links are wanted.
func (c *Cluster) makeLinks() error {
	if c.Options.LinkDelay == 0 && !c.Options.Links {
		return nil
	}
	for _, from := range c.VMs {
		for _, to := range c.VMs {
			if from.Region == to.Region {
				continue
			}
			l, err := link.New(to.Peer)
			if err != nil {
				return err
			}
			c.links[pair{from.ID, to.ID}] = l
			if c.Options.LinkDelay == 0 {
				continue
			}
			if err := l.Delay(c.Options.LinkDelay); err != nil {
				return err
			}
		}
	}
	return nil
}

// DataDir returns the data folder of a control VM.
func (c *Cluster) DataDir(v *VM) string {
	return filepath.Join(c.Options.Folder, v.ID+".data")
}

// Format creates the data folder of a control VM with the daemon's --format
// command and more arguments. An error contains the output of the command.
func (c *Cluster) Format(v *VM, arguments ...string) (err error) {
	defer fault.Annotate(&err, "format %s", v.ID)
	output, err := exec.Command(c.Options.Daemon, append([]string{"--format", v.Settings}, arguments...)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}

// Start formats the control VMs, starts all daemons and waits until they are
// ready.
func (c *Cluster) Start(ctx context.Context) error {
	for _, v := range c.VMs {
		if !v.Control {
			continue
		}
		if err := c.Format(v); err != nil {
			return err
		}
	}
	for _, v := range c.VMs {
		if err := c.StartVM(v); err != nil {
			return err
		}
	}
	for _, v := range c.VMs {
		if err := c.WaitReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// StartVM starts one daemon and doesn't wait for it. Its output is appended to
// its log.
func (c *Cluster) StartVM(v *VM) (err error) {
	defer fault.Annotate(&err, "start %s", v.ID)
	log, err := os.OpenFile(v.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(c.Options.Daemon, v.Settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	v.command = command
	exited := make(chan struct{})
	v.exited = exited
	go func() {
		v.exitError = command.Wait()
		close(exited)
	}()
	return nil
}

// WaitReady waits until a daemon reports that it is ready for requests. It fails
// if the daemon ends, after 30 seconds, or when the context ends.
func (c *Cluster) WaitReady(ctx context.Context, v *VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get("http://" + v.Caller + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-v.exited:
			return fmt.Errorf("vm %s ended before it was ready: %w; see %s", v.ID, v.exitError, v.Log)
		case <-time.After(pollEvery):
		}
	}
	return fmt.Errorf("vm %s was not ready within %v; see %s", v.ID, readyTimeout, v.Log)
}

// Signal sends a signal to a running daemon.
func (c *Cluster) Signal(v *VM, signal syscall.Signal) error {
	return v.command.Process.Signal(signal)
}

// Wait waits for a daemon to end and returns the error of its exit status. It
// fails after the timeout.
func (c *Cluster) Wait(v *VM, timeout time.Duration) error {
	select {
	case <-v.exited:
		v.command = nil
		return v.exitError
	case <-time.After(timeout):
		return fmt.Errorf("vm %s did not end within %v", v.ID, timeout)
	}
}

// Kill ends a daemon with SIGKILL, also a stopped one (SIGSTOP), and waits for
// its end.
func (c *Cluster) Kill(v *VM) {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Signal(syscall.SIGCONT)
	_ = v.command.Process.Kill()
	<-v.exited
	v.command = nil
}

// Running tells whether a daemon was started and neither Kill nor Wait has seen
// its end.
func (v *VM) Running() bool {
	return v.command != nil
}

// PID returns the process id of a running daemon.
func (v *VM) PID() int {
	return v.command.Process.Pid
}

// Close kills all daemons and closes all links.
func (c *Cluster) Close() {
	for _, v := range c.VMs {
		c.Kill(v)
	}
	for _, l := range c.links {
		l.Close()
	}
}

// Operator returns a client for the operator interface of a VM.
func (c *Cluster) Operator(v *VM) operator.Operator {
	return dial.Operator(v.Operator, c.Token)
}

// VM returns the VM with an id, or nil.
func (c *Cluster) VM(id string) *VM {
	for _, v := range c.VMs {
		if v.ID == id {
			return v
		}
	}
	return nil
}

// TargetAddresses returns the addresses at which the VMs of a region take
// announcements of targets.
func (c *Cluster) TargetAddresses(region string) (addresses []string) {
	for _, v := range c.VMs {
		if v.Region == region {
			addresses = append(addresses, v.Target)
		}
	}
	return addresses
}

// Link returns the link from one VM to another, or nil if there is none.
func (c *Cluster) Link(from, to *VM) *link.Link {
	return c.links[pair{from.ID, to.ID}]
}

// CutRegion silences all links from and to a region in both directions.
func (c *Cluster) CutRegion(region string) error {
	return c.eachLink(region, func(l *link.Link) error { return l.Cut() })
}

// HealRegion ends CutRegion.
func (c *Cluster) HealRegion(region string) error {
	return c.eachLink(region, func(l *link.Link) error { l.Heal(); return nil })
}

func (c *Cluster) eachLink(region string, change func(*link.Link) error) error {
	var errs []error
	for ends, l := range c.links {
		if c.VM(ends.from).Region == region || c.VM(ends.to).Region == region {
			errs = append(errs, change(l))
		}
	}
	return errors.Join(errs...)
}
