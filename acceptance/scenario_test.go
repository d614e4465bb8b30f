package acceptance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/root"
	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/fakeengine"
	"kingcuprill/io/rig/fakeservice"
)

const (
	eventuallyFor = 30 * time.Second
	eventuallyGap = 100 * time.Millisecond
	requestBound  = 60 * time.Second
	announceEvery = 300 * time.Millisecond
	maxTokens     = 400
)

type scenarioKey struct{}

// job is a request that runs in the background.
type job struct {
	done   chan struct{}
	tokens chan int
	out    string
	err    error
}

// scenario is the state of one script.
type scenario struct {
	folder   string
	cluster  *cluster.Cluster
	engines  map[string]*fakeengine.Engine
	services map[string]*fakeservice.Service
	ledger   *fakeservice.Ledger
	clients  map[string]*client.Client
	jobs     map[string]*job
	mu       sync.Mutex
}

func newScenario(folder string) *scenario {
	return &scenario{
		folder: folder, engines: map[string]*fakeengine.Engine{}, services: map[string]*fakeservice.Service{},
		ledger: fakeservice.NewLedger(), clients: map[string]*client.Client{"none": client.New("")}, jobs: map[string]*job{},
	}
}

func (s *scenario) close() {
	for _, e := range s.engines {
		e.Stop()
	}
	for _, d := range s.services {
		d.Stop()
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
}

// verb is one command of the scripts. It returns what it prints.
type verb func(s *scenario, args []string) (out string, err error)

var verbs map[string]verb

func init() {
	verbs = map[string]verb{
		"cluster": startCluster, "engine": startEngine, "desk": startDesk, "kc": runClient, "grant": grant,
		"complete": complete, "call": call, "get": get, "background": background, "tokens": awaitTokens, "await": await,
		"signal": signal, "ended": ended, "restart": restart, "cut": cut, "heal": heal, "silence-open": silenceOpen,
		"leave": leave, "crash": crash, "runs": runs, "saw": saw, "leaked": leaked, "fault": setFault, "vms": vms, "wipe": wipe,
		"crashes": crashes, "logged": logged, "settled": settled, "format": format, "damage": damage, "stored": stored,
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]func(*testscript.TestScript, bool, []string){}
	for name := range verbs {
		table[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts, neg, append([]string{name}, args...))
		}
	}
	table["eventually"] = eventually
	return table
}

func run(ts *testscript.TestScript, neg bool, words []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	out, err := verbs[words[0]](s, words[1:])
	fmt.Fprintln(ts.Stdout(), out)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
	}
	if id := s.raced(); id != "" {
		s.dumpLogs(ts)
		ts.Fatalf("%s: the race detector has found a data race in %s", strings.Join(words, " "), id)
	}
	if neg != (err != nil) {
		s.dumpLogs(ts)
		ts.Fatalf("%s: error %v", strings.Join(words, " "), err)
	}
}

// eventually repeats a command until it succeeds; "eventually PATTERN -- verb"
// until its output contains the pattern.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	pattern := ""
	if len(args) > 1 && args[1] == "--" {
		pattern, args = args[0], args[2:]
	}
	deadline := time.Now().Add(eventuallyFor)
	for {
		out, err := verbs[args[0]](s, args[1:])
		text := out
		if err != nil {
			text += err.Error()
		}
		if (pattern == "" && err == nil) || (pattern != "" && strings.Contains(text, pattern)) {
			fmt.Fprintln(ts.Stdout(), text)
			return
		}
		if time.Now().After(deadline) {
			s.dumpLogs(ts)
			ts.Fatalf("not within %v: %s: output %q, error %v", eventuallyFor, strings.Join(args, " "), out, err)
		}
		time.Sleep(eventuallyGap)
	}
}

// raced returns a daemon in which the race detector has found something.
func (s *scenario) raced() (id string) {
	if s.cluster == nil {
		return ""
	}
	for _, v := range s.cluster.VMs {
		if data, err := os.ReadFile(v.Log); err == nil && bytes.Contains(data, []byte("DATA RACE")) {
			return v.ID
		}
	}
	return ""
}

const logTail = 3000 // bytes

func (s *scenario) dumpLogs(ts *testscript.TestScript) {
	if s.cluster == nil {
		return
	}
	for _, v := range s.cluster.VMs {
		data, _ := os.ReadFile(v.Log)
		ts.Logf("--- log of %s\n%s", v.ID, data[max(0, len(data)-logTail):])
	}
}

// parseArgs splits NAME=VALUE arguments from the others.
func parseArgs(args []string) (plain []string, named map[string]string) {
	named = map[string]string{}
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if found && !strings.ContainsAny(name, " {") {
			named[name] = value
			continue
		}
		plain = append(plain, arg)
	}
	return plain, named
}

func duration(named map[string]string, name string, preset time.Duration) time.Duration {
	if d, err := time.ParseDuration(named[name]); err == nil {
		return d
	}
	return preset
}

func number(named map[string]string, name string, preset int) int {
	if n, err := strconv.Atoi(named[name]); err == nil {
		return n
	}
	return preset
}

func startCluster(s *scenario, args []string) (string, error) {
	_, named := parseArgs(args)
	regions := []string{"kolkata", "siliguri", "durgapur"}
	if named["regions"] != "" {
		regions = strings.Split(named["regions"], ",")
	}
	var err error
	s.cluster, err = cluster.New(cluster.Options{
		Folder: s.folder, Daemon: daemonPath, Regions: regions, VMs: number(named, "vms", 1),
		ControlVMs: number(named, "control", len(regions)), LinkDelay: duration(named, "delay", 5*time.Millisecond), Links: true,
		Settings: cluster.Overrides{
			Drain: duration(named, "drain", 500*time.Millisecond), Silence: duration(named, "silence", 500*time.Millisecond),
			Lease: duration(named, "lease", 2*time.Second), Commit: duration(named, "commit", 3*time.Second),
			QueueWait: duration(named, "queue_wait", 4*time.Second),
		},
	})
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	if err := s.cluster.Start(ctx); err != nil {
		return "", err
	}
	return "started", s.waitSettled()
}

func (s *scenario) waitSettled() error {
	deadline := time.Now().Add(eventuallyFor)
	for time.Now().Before(deadline) {
		if out, err := settled(s, nil); err == nil && out != "" {
			return nil
		}
		time.Sleep(eventuallyGap)
	}
	return errors.New("the VM set was not settled in time")
}

// settled succeeds when all running VMs are active in the VM set.
func settled(s *scenario, _ []string) (string, error) {
	out, err := runClient(s, []string{"vm", "list"})
	if err != nil {
		return out, err
	}
	if got := strings.Count(out, "\tactive\n"); got != len(s.cluster.VMs) {
		return out, fmt.Errorf("%d of %d VMs are active", got, len(s.cluster.VMs))
	}
	return out, nil
}

func startEngine(s *scenario, args []string) (string, error) {
	plain, named := parseArgs(args)
	id, region := plain[0], plain[1]
	e, err := fakeengine.Start(fakeengine.Options{
		ID: id, Service: "planner", Region: region, DataCentre: region + "-a", Models: []string{"lantern"},
		Capacity: number(named, "capacity", 8), PerToken: duration(named, "per_token", 5*time.Millisecond), CacheBytes: 1 << 20,
		VMs: s.cluster.TargetAddresses(region), AnnounceEvery: announceEvery, RestartAfter: duration(named, "restart_after", 300*time.Millisecond),
	})
	if err != nil {
		return "", err
	}
	s.engines[id] = e
	return id, nil
}

func startDesk(s *scenario, args []string) (string, error) {
	plain, named := parseArgs(args)
	id, region := plain[0], plain[1]
	d, err := fakeservice.Start(fakeservice.Options{
		ID: id, Service: "hire-desk", Region: region, DataCentre: region + "-a", Capacity: 8, VMs: s.cluster.TargetAddresses(region),
		AnnounceEvery: announceEvery, Ledger: s.ledger, CallDuration: duration(named, "takes", 0),
	})
	if err != nil {
		return "", err
	}
	s.services[id] = d
	return id, nil
}

// runClient runs the operators' client against all VMs, or against the one
// named by vm=ID.
func runClient(s *scenario, args []string) (string, error) {
	addresses := []string{}
	arguments := []string{}
	only := ""
	for _, arg := range args {
		if id, found := strings.CutPrefix(arg, "vm="); found {
			only = id
			continue
		}
		arguments = append(arguments, arg)
	}
	for _, v := range s.cluster.VMs {
		if only == v.ID || (only == "" && v.Running()) {
			addresses = append(addresses, v.Operator)
		}
	}
	arguments = append(arguments, "--vms", strings.Join(addresses, ","))
	if !slices.Contains(args, "--token-file") {
		arguments = append(arguments, "--token-file", filepath.Join(s.folder, "token"))
	}
	var out, errOut bytes.Buffer
	code := root.Main(context.Background(), arguments, factory.Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	if code != 0 {
		return out.String(), fmt.Errorf("exit %d: %s", code, errOut.String())
	}
	return out.String() + errOut.String(), nil
}

// grant grants a key and waits until every running VM has it in force.
func grant(s *scenario, args []string) (string, error) {
	out, err := runClient(s, []string{"key", "grant", args[0], "--organisation", args[1]})
	if err != nil {
		return out, err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	c := client.New(lines[len(lines)-1])
	s.clients[args[0]] = c
	deadline := time.Now().Add(eventuallyFor)
	for _, v := range s.cluster.VMs {
		for v.Running() {
			if _, err := c.VMs(context.Background(), v.Caller); err == nil {
				break
			}
			if time.Now().After(deadline) {
				return out, fmt.Errorf("vm %s does not know the key", v.ID)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return lines[0], nil
}

// complete asks for a completion: KEY VM PROMPT.
func complete(s *scenario, args []string) (string, error) {
	return s.complete(args, nil)
}

func (s *scenario) complete(args []string, token func(int)) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	prompt := strings.Join(args[2:], " ")
	answer, err := s.client(args[0]).Complete(ctx, s.cluster.VM(args[1]).Caller, "lantern", prompt, maxTokens, token)
	if err != nil {
		return "", err
	}
	if want := fakeengine.Answer("lantern", prompt, maxTokens); answer.Text != want {
		return "", fmt.Errorf("the answer is not whole:\ngot  %q\nwant %q", answer.Text, want)
	}
	return fmt.Sprintf("whole, %d tokens", strings.Count(answer.Text, " w")), nil
}

func (s *scenario) client(name string) *client.Client {
	if c, found := s.clients[name]; found {
		return c
	}
	return client.New(name)
}

// call calls a service: KEY VM METHOD PATH IDEMPOTENCY-KEY BODY, "-" for none.
func call(s *scenario, args []string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	for i := range args {
		if args[i] == "-" {
			args[i] = ""
		}
	}
	status, body, err := s.client(args[0]).Call(ctx, args[2], s.cluster.VM(args[1]).Caller, args[3], args[4], strings.Join(args[5:], " "))
	return fmt.Sprintf("status %d %s", status, body), err
}

func get(s *scenario, args []string) (string, error) {
	response, err := http.Get("http://" + s.cluster.VM(args[0]).Caller + args[1])
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return fmt.Sprintf("status %d", response.StatusCode), nil
}

// background starts a completion or call under a name: NAME verb ARGS.
func background(s *scenario, args []string) (string, error) {
	j := &job{done: make(chan struct{}), tokens: make(chan int, 4096)}
	s.mu.Lock()
	s.jobs[args[0]] = j
	s.mu.Unlock()
	go func() {
		defer close(j.done)
		if args[1] == "complete" {
			j.out, j.err = s.complete(args[2:], func(n int) { j.tokens <- n })
			return
		}
		j.out, j.err = verbs[args[1]](s, args[2:])
	}()
	return args[0], nil
}

// tokens waits until a background completion has got N tokens: NAME N.
func awaitTokens(s *scenario, args []string) (string, error) {
	want, _ := strconv.Atoi(args[1])
	j := s.jobs[args[0]]
	for {
		select {
		case got := <-j.tokens:
			if got >= want {
				return fmt.Sprint(got), nil
			}
		case <-j.done:
			return j.out, fmt.Errorf("%s ended before %d tokens: %w", args[0], want, j.err)
		case <-time.After(requestBound):
			return "", errors.New("no token came")
		}
	}
}

func await(s *scenario, args []string) (string, error) {
	j := s.jobs[args[0]]
	select {
	case <-j.done:
		return j.out, j.err
	case <-time.After(2 * requestBound):
		return "", fmt.Errorf("%s does not end", args[0])
	}
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

func signal(s *scenario, args []string) (string, error) {
	v := s.cluster.VM(args[0])
	if args[1] == "KILL" {
		s.cluster.Kill(v)
		return "", nil
	}
	return "", s.cluster.Signal(v, signals[args[1]])
}

func ended(s *scenario, args []string) (string, error) {
	return "", s.cluster.Wait(s.cluster.VM(args[0]), requestBound)
}

func restart(s *scenario, args []string) (string, error) {
	v := s.cluster.VM(args[0])
	if err := s.cluster.StartVM(v); err != nil {
		return "", err
	}
	if len(args) > 1 {
		return "", nil // no wait
	}
	return "", s.cluster.WaitReady(context.Background(), v)
}

func cut(s *scenario, args []string) (string, error) {
	return "", s.cluster.CutRegion(args[0])
}

func heal(s *scenario, args []string) (string, error) {
	return "", s.cluster.HealRegion(args[0])
}

func silenceOpen(s *scenario, args []string) (string, error) {
	return "", s.cluster.Link(s.cluster.VM(args[0]), s.cluster.VM(args[1])).SilenceOpen()
}

func leave(s *scenario, args []string) (string, error) {
	s.engines[args[0]].Leave()
	return "", nil
}

func crash(s *scenario, args []string) (string, error) {
	s.engines[args[0]].Crash()
	return "", nil
}

func crashes(s *scenario, args []string) (string, error) {
	total := 0
	for _, e := range s.engines {
		total += e.Crashes()
	}
	if want, _ := strconv.Atoi(args[0]); total != want {
		return "", fmt.Errorf("engines have crashed %d times, not %d", total, want)
	}
	return "", nil
}

// runs checks how often a booking has run: ITEM N.
func runs(s *scenario, args []string) (string, error) {
	if got := strconv.Itoa(s.ledger.Runs(args[0])); got != args[1] {
		return "", fmt.Errorf("%q has run %s times, not %s", args[0], got, args[1])
	}
	return "", nil
}

// saw checks whether an engine got a prompt with a text: ENGINE TEXT.
func saw(s *scenario, args []string) (string, error) {
	for _, seen := range s.engines[args[0]].Received() {
		if strings.Contains(seen.Body, strings.Join(args[1:], " ")) {
			return "", nil
		}
	}
	return "", fmt.Errorf("%s has not got %q", args[0], args[1:])
}

// leaked checks whether a key's secret is in anything that a target got or a
// daemon logged.
func leaked(s *scenario, args []string) (string, error) {
	secret := s.clients[args[0]].Key
	for id, e := range s.engines {
		for _, seen := range e.Received() {
			if strings.Contains(seen.Body, secret) || strings.Contains(fmt.Sprint(seen.Header), secret) {
				return id, nil
			}
		}
	}
	for id, d := range s.services {
		if strings.Contains(fmt.Sprint(d.Headers()), secret) {
			return id, nil
		}
	}
	for _, v := range s.cluster.VMs {
		if data, err := os.ReadFile(v.Log); err != nil || bytes.Contains(data, []byte(secret)) {
			return v.ID, err
		}
	}
	return "", errors.New("the secret is nowhere")
}

// setFault sets what happens to the next bookings of a desk: DESK FAULT.
func setFault(s *scenario, args []string) (string, error) {
	what := fakeservice.Fault(args[1])
	if what == "none" {
		what = fakeservice.NoFault
	}
	s.services[args[0]].SetFault(what)
	return "", nil
}

// vms prints the entry VMs that a key's holder is told: KEY VM.
func vms(s *scenario, args []string) (string, error) {
	list, err := s.client(args[0]).VMs(context.Background(), s.cluster.VM(args[1]).Caller)
	ids := []string{}
	for _, v := range list {
		ids = append(ids, v.ID)
	}
	return strings.Join(ids, " "), err
}

// wipe removes the data folder of a VM that is stopped.
func wipe(s *scenario, args []string) (string, error) {
	return "", os.RemoveAll(s.cluster.DataDir(s.cluster.VM(args[0])))
}

func format(s *scenario, args []string) (string, error) {
	return "", s.cluster.Format(s.cluster.VM(args[0]), args[1:]...)
}

// damage flips a byte in the middle of a VM's log: VM.
func damage(s *scenario, args []string) (string, error) {
	path := filepath.Join(s.cluster.DataDir(s.cluster.VM(args[0])), "log")
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	data[len(data)/3] ^= 0x40
	return "", os.WriteFile(path, data, 0o600)
}

// logged checks whether a VM has logged a text: VM TEXT.
func logged(s *scenario, args []string) (string, error) {
	data, err := os.ReadFile(s.cluster.VM(args[0]).Log)
	if err != nil || !bytes.Contains(data, []byte(strings.Join(args[1:], " "))) {
		return "", fmt.Errorf("%s has not logged %q: %w", args[0], args[1:], err)
	}
	return "", nil
}

// stored checks whether a text is in the files of a VM's data folder: VM TEXT.
func stored(s *scenario, args []string) (string, error) {
	files, err := filepath.Glob(filepath.Join(s.cluster.DataDir(s.cluster.VM(args[0])), "*"))
	if err != nil || len(files) == 0 {
		return "", fmt.Errorf("no files: %w", err)
	}
	for _, file := range files {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte(args[1])) {
			return file, nil
		}
	}
	return "", fmt.Errorf("%q is in none of %d files", args[1], len(files))
}
