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
	"kingcuprill/io/rig/production"
)

const (
	pollTimeout      = 30 * time.Second
	pollInterval     = 100 * time.Millisecond
	requestTimeout   = 60 * time.Second
	announceInterval = 300 * time.Millisecond
	maxTokens        = 400
)

// scenarioKey is the key of the scenario among the values of a script.
type scenarioKey struct{}

// job is a request that runs in the background.
type job struct {
	done   chan struct{}
	tokens chan int // number of tokens received so far
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

// commandFunc implements a script command. It returns the command's output. The
// command fails if err is set; a script expects that with a leading "!".
type commandFunc func(s *scenario, args []string) (out string, err error)

// commandFuncs holds the script commands by name, except for eventually.
var commandFuncs map[string]commandFunc

func init() {
	commandFuncs = map[string]commandFunc{
		"cluster": startCluster, "engine": startEngine, "desk": startService, "kc": runClient, "grant": grantKey,
		"complete": complete, "call": callService, "get": getStatus, "background": startBackground, "tokens": awaitTokens, "await": awaitRequest,
		"build": chooseBuild, "signal": signalVM, "ended": waitExit, "restart": restartVM, "cut": cutRegion, "heal": healRegion, "silence-open": silenceOpen,
		"leave": leaveTarget, "crash": crashEngine, "runs": checkRuns, "saw": checkPrompt, "leaked": checkLeak,
		"limit": setLimit, "flood": flood, "arrivals": checkArrivals, "fault": setFault, "vms": listVMs, "wipe": removeData,
		"crashes": checkCrashes, "logged": checkLogged, "settled": checkSettled, "format": formatVM, "damage": corruptLog, "stored": checkStored,
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]func(*testscript.TestScript, bool, []string){}
	for name := range commandFuncs {
		table[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			runCommand(ts, negated, append([]string{name}, args...))
		}
	}
	table["eventually"] = eventually
	return table
}

func runCommand(ts *testscript.TestScript, negated bool, words []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	out, err := commandFuncs[words[0]](s, words[1:])
	fmt.Fprintln(ts.Stdout(), out)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
	}
	if id := s.findDataRace(); id != "" {
		s.dumpLogs(ts)
		ts.Fatalf("%s: the race detector has found a data race in %s", strings.Join(words, " "), id)
	}
	if negated != (err != nil) {
		s.dumpLogs(ts)
		ts.Fatalf("%s: error %v", strings.Join(words, " "), err)
	}
}

// eventually repeats a command until it succeeds: COMMAND ARGS; or until its
// output or error contains a text: TEXT -- COMMAND ARGS.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	pattern := ""
	if len(args) > 1 && args[1] == "--" {
		pattern, args = args[0], args[2:]
	}
	deadline := time.Now().Add(pollTimeout)
	for {
		out, err := commandFuncs[args[0]](s, args[1:])
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
			ts.Fatalf("command did not succeed within %v: %s: output %q, error %v", pollTimeout, strings.Join(args, " "), out, err)
		}
		time.Sleep(pollInterval)
	}
}

// findDataRace returns the id of a VM whose daemon logged a data race, or "".
func (s *scenario) findDataRace() (id string) {
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

const logTailBytes = 3000

// dumpLogs prints the last logTailBytes of each VM's log.
func (s *scenario) dumpLogs(ts *testscript.TestScript) {
	if s.cluster == nil {
		return
	}
	for _, v := range s.cluster.VMs {
		data, _ := os.ReadFile(v.Log)
		ts.Logf("--- log of %s\n%s", v.ID, data[max(0, len(data)-logTailBytes):])
	}
}

// parseArgs splits NAME=VALUE arguments from the others.
func parseArgs(args []string) (positional []string, options map[string]string) {
	options = map[string]string{}
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if found && !strings.ContainsAny(name, " {") {
			options[name] = value
			continue
		}
		positional = append(positional, arg)
	}
	return positional, options
}

func durationOption(options map[string]string, name string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(options[name]); err == nil {
		return d
	}
	return fallback
}

func intOption(options map[string]string, name string, fallback int) int {
	if n, err := strconv.Atoi(options[name]); err == nil {
		return n
	}
	return fallback
}

// startCluster starts a cluster and waits until all VMs are active, with the production
// build if an argument is production. Options are
// regions=A,B and vms=N (VMs in each region), control=N (control VMs), delay=D (one way,
// between regions), and the settings drain, shutdown, silence, lease, commit and queue_wait.
func startCluster(s *scenario, args []string) (string, error) {
	positional, options := parseArgs(args)
	regions := []string{"kolkata", "siliguri", "durgapur"}
	if options["regions"] != "" {
		regions = strings.Split(options["regions"], ",")
	}
	var err error
	s.cluster, err = cluster.New(cluster.Options{
		Folder: s.folder, Daemon: daemonPath, Regions: regions, VMs: intOption(options, "vms", 1),
		ControlVMs: intOption(options, "control", len(regions)), LinkDelay: durationOption(options, "delay", 5*time.Millisecond), Links: true,
		Settings: cluster.Overrides{
			Drain: durationOption(options, "drain", 500*time.Millisecond), Shutdown: durationOption(options, "shutdown", 0), Silence: durationOption(options, "silence", 500*time.Millisecond),
			Lease: durationOption(options, "lease", 2*time.Second), Commit: durationOption(options, "commit", 3*time.Second),
			QueueWait: durationOption(options, "queue_wait", 4*time.Second),
		},
	})
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if slices.Contains(positional, "production") {
		if _, err := chooseBuild(s, positional); err != nil {
			return "", err
		}
	}
	if err := s.cluster.Start(ctx); err != nil {
		return "", err
	}
	return "started", s.waitSettled()
}

func (s *scenario) waitSettled() error {
	deadline := time.Now().Add(pollTimeout)
	for time.Now().Before(deadline) {
		if out, err := checkSettled(s, nil); err == nil && out != "" {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("not all VMs became active in time")
}

// checkSettled checks whether the catalogue lists all VMs of the cluster as
// active.
func checkSettled(s *scenario, _ []string) (string, error) {
	out, err := runClient(s, []string{"vm", "list"})
	if err != nil {
		return out, err
	}
	if got := strings.Count(out, "\tactive\n"); got != len(s.cluster.VMs) {
		return out, fmt.Errorf("%d of %d VMs are active", got, len(s.cluster.VMs))
	}
	return out, nil
}

// startEngine starts an engine: ENGINE REGION, with the options capacity=N (requests at
// the same time), per_token=D and restart_after=D (after a crash).
func startEngine(s *scenario, args []string) (string, error) {
	positional, options := parseArgs(args)
	id, region := positional[0], positional[1]
	e, err := fakeengine.Start(fakeengine.Options{
		ID: id, Service: "planner", Region: region, DataCentre: region + "-a", Models: []string{"lantern"},
		Capacity: intOption(options, "capacity", 8), PerToken: durationOption(options, "per_token", 5*time.Millisecond), CacheBytes: 1 << 20,
		VMs: s.cluster.TargetAddresses(region), AnnounceEvery: announceInterval, RestartAfter: durationOption(options, "restart_after", 300*time.Millisecond),
	})
	if err != nil {
		return "", err
	}
	s.engines[id] = e
	return id, nil
}

// startService starts a service: SERVICE REGION, with the option takes=D (duration of a
// call).
func startService(s *scenario, args []string) (string, error) {
	positional, options := parseArgs(args)
	id, region := positional[0], positional[1]
	d, err := fakeservice.Start(fakeservice.Options{
		ID: id, Service: "hire-desk", Region: region, DataCentre: region + "-a", Capacity: 8, VMs: s.cluster.TargetAddresses(region),
		AnnounceEvery: announceInterval, Ledger: s.ledger, CallDuration: durationOption(options, "takes", 0),
	})
	if err != nil {
		return "", err
	}
	s.services[id] = d
	return id, nil
}

// runClient runs the operator command line against all running VMs, or against
// the one named by vm=ID.
func runClient(s *scenario, args []string) (string, error) {
	addresses := []string{}
	arguments := []string{}
	onlyVM := ""
	for _, arg := range args {
		if id, found := strings.CutPrefix(arg, "vm="); found {
			onlyVM = id
			continue
		}
		arguments = append(arguments, arg)
	}
	for _, v := range s.cluster.VMs {
		if onlyVM == v.ID || (onlyVM == "" && v.Running()) {
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

// grantKey grants a key and waits until every running VM accepts it: KEY
// ORGANISATION.
func grantKey(s *scenario, args []string) (string, error) {
	out, err := runClient(s, []string{"key", "grant", args[0], "--organisation", args[1]})
	if err != nil {
		return out, err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	c := client.New(lines[len(lines)-1])
	s.clients[args[0]] = c
	deadline := time.Now().Add(pollTimeout)
	for _, v := range s.cluster.VMs {
		for v.Running() {
			if _, err := c.VMs(context.Background(), v.Caller); err == nil {
				break
			}
			if time.Now().After(deadline) {
				return out, fmt.Errorf("VM %s did not accept the key in time", v.ID)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return lines[0], nil
}

// complete asks for a completion and checks that its text is whole: KEY VM
// PROMPT.
func complete(s *scenario, args []string) (string, error) {
	return s.complete(args, nil)
}

// complete calls onToken, if set, with the number of tokens received so far.
func (s *scenario) complete(args []string, onToken func(int)) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	prompt := strings.Join(args[2:], " ")
	answer, err := s.client(args[0]).Complete(ctx, s.cluster.VM(args[1]).Caller, "lantern", prompt, maxTokens, onToken)
	if err != nil {
		return "", err
	}
	if want := fakeengine.Answer("lantern", prompt, maxTokens); answer.Text != want {
		return "", fmt.Errorf("the completion differs from the engine's answer:\ngot  %q\nwant %q", answer.Text, want)
	}
	return fmt.Sprintf("whole, %d tokens", strings.Count(answer.Text, " w")), nil
}

// client returns the client of a granted key, or one that sends the name itself
// as its key.
func (s *scenario) client(name string) *client.Client {
	if c, found := s.clients[name]; found {
		return c
	}
	return client.New(name)
}

// callService calls a service: KEY VM METHOD PATH IDEMPOTENCY-KEY BODY. "-" stands for
// an empty argument.
func callService(s *scenario, args []string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for i := range args {
		if args[i] == "-" {
			args[i] = ""
		}
	}
	status, body, err := s.client(args[0]).Call(ctx, args[2], s.cluster.VM(args[1]).Caller, args[3], args[4], strings.Join(args[5:], " "))
	return fmt.Sprintf("status %d %s", status, body), err
}

// getStatus prints the HTTP status of a GET without a key: VM PATH.
func getStatus(s *scenario, args []string) (string, error) {
	response, err := http.Get("http://" + s.cluster.VM(args[0]).Caller + args[1])
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return fmt.Sprintf("status %d", response.StatusCode), nil
}

// startBackground starts a command in the background: NAME COMMAND ARGS.
func startBackground(s *scenario, args []string) (string, error) {
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
		j.out, j.err = commandFuncs[args[1]](s, args[2:])
	}()
	return args[0], nil
}

// awaitTokens waits until a background completion has received N tokens: NAME N.
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
		case <-time.After(requestTimeout):
			return "", errors.New("background completion received no token in time")
		}
	}
}

// awaitRequest waits until a background command ends, and takes over its output
// and error: NAME.
func awaitRequest(s *scenario, args []string) (string, error) {
	j := s.jobs[args[0]]
	select {
	case <-j.done:
		return j.out, j.err
	case <-time.After(2 * requestTimeout):
		return "", fmt.Errorf("background command %s did not end in time", args[0])
	}
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signalVM sends a signal to a VM's daemon: VM SIGNAL.
func signalVM(s *scenario, args []string) (string, error) {
	v := s.cluster.VM(args[0])
	if args[1] == "KILL" {
		s.cluster.Kill(v)
		return "", nil
	}
	return "", s.cluster.Signal(v, signals[args[1]])
}

// waitExit waits until a VM's daemon has exited: VM.
func waitExit(s *scenario, args []string) (string, error) {
	return "", s.cluster.Wait(s.cluster.VM(args[0]), requestTimeout)
}

var buildProduction = sync.OnceValues(func() (string, error) {
	return production.Build(filepath.Join(filepath.Dir(daemonPath), "production"), "kingcuprilld")
})

// chooseBuild selects the build of the daemons that are started from now on: production
// or current.
func chooseBuild(s *scenario, args []string) (out string, err error) {
	s.cluster.Options.Daemon = daemonPath
	if args[0] == "production" {
		s.cluster.Options.Daemon, err = buildProduction()
	}
	return s.cluster.Options.Daemon, err
}

// restartVM starts a stopped VM and waits until it is ready, unless a second
// argument is given: VM [nowait].
func restartVM(s *scenario, args []string) (string, error) {
	v := s.cluster.VM(args[0])
	if err := s.cluster.StartVM(v); err != nil {
		return "", err
	}
	if len(args) > 1 {
		return "", nil
	}
	return "", s.cluster.WaitReady(context.Background(), v)
}

// cutRegion cuts a region off from the others: REGION.
func cutRegion(s *scenario, args []string) (string, error) {
	return "", s.cluster.CutRegion(args[0])
}

// healRegion reconnects a region: REGION.
func healRegion(s *scenario, args []string) (string, error) {
	return "", s.cluster.HealRegion(args[0])
}

// silenceOpen drops all further data on the open connections between two VMs;
// new connections work: VM VM.
func silenceOpen(s *scenario, args []string) (string, error) {
	return "", s.cluster.Link(s.cluster.VM(args[0]), s.cluster.VM(args[1])).SilenceOpen()
}

// leaveTarget makes an engine announce that it leaves: ENGINE.
func leaveTarget(s *scenario, args []string) (string, error) {
	s.engines[args[0]].Leave()
	return "", nil
}

// crashEngine crashes an engine: ENGINE.
func crashEngine(s *scenario, args []string) (string, error) {
	s.engines[args[0]].Crash()
	return "", nil
}

// setLimit sets the limit that an engine names in its answers: ENGINE RATE, or "none".
func setLimit(s *scenario, args []string) (string, error) {
	rate := args[1]
	if rate == "none" {
		rate = ""
	}
	s.engines[args[0]].SetLimit(rate)
	return "", nil
}

// flood asks for completions, one after the other at each of some VMs: KEY COUNT VM...
func flood(s *scenario, args []string) (string, error) {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	errs := make(chan error, len(args[2:]))
	for _, vm := range args[2:] {
		go func() {
			for i := range count {
				if _, err := s.complete([]string{args[0], vm, fmt.Sprintf("question %d at %s tokens=2", i, vm)}, nil); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range args[2:] {
		err = errors.Join(err, <-errs)
	}
	return "", err
}

// checkArrivals checks that an engine has received at most a number of requests in any
// window: ENGINE WINDOW MOST.
func checkArrivals(s *scenario, args []string) (string, error) {
	window, err := time.ParseDuration(args[1])
	if err != nil {
		return "", err
	}
	allowed, err := strconv.Atoi(args[2])
	if err != nil {
		return "", err
	}
	received := s.engines[args[0]].Received()
	most := 0
	for i, first := range received {
		count := 0
		for _, r := range received[i:] {
			if r.At.Sub(first.At) < window {
				count++
			}
		}
		most = max(most, count)
	}
	if most > allowed {
		return "", fmt.Errorf("%s has received %d requests in %v, %d are allowed", args[0], most, window, allowed)
	}
	return fmt.Sprintf("%d in %v, %d in all", most, window, len(received)), nil
}

// checkCrashes checks how often the engines have crashed in total: N.
func checkCrashes(s *scenario, args []string) (string, error) {
	total := 0
	for _, e := range s.engines {
		total += e.Crashes()
	}
	if want, _ := strconv.Atoi(args[0]); total != want {
		return "", fmt.Errorf("engines have crashed %d times, not %d", total, want)
	}
	return "", nil
}

// checkRuns checks how often a booking has run: ITEM N.
func checkRuns(s *scenario, args []string) (string, error) {
	if got := strconv.Itoa(s.ledger.Runs(args[0])); got != args[1] {
		return "", fmt.Errorf("%q has run %s times, not %s", args[0], got, args[1])
	}
	return "", nil
}

// checkPrompt checks whether an engine received a prompt with a text: ENGINE
// TEXT.
func checkPrompt(s *scenario, args []string) (string, error) {
	for _, seen := range s.engines[args[0]].Received() {
		if strings.Contains(seen.Body, strings.Join(args[1:], " ")) {
			return "", nil
		}
	}
	return "", fmt.Errorf("engine %s has received no prompt with %q", args[0], args[1:])
}

// checkLeak succeeds if a key's secret is in a request that a target received or
// in a VM's log, and prints where: KEY.
func checkLeak(s *scenario, args []string) (string, error) {
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
	return "", errors.New("the secret is in no request to a target and in no log")
}

// setFault sets how a service mishandles bookings from now on, or "none":
// SERVICE FAULT.
func setFault(s *scenario, args []string) (string, error) {
	injected := fakeservice.Fault(args[1])
	if injected == "none" {
		injected = fakeservice.NoFault
	}
	s.services[args[0]].SetFault(injected)
	return "", nil
}

// listVMs prints the entry VMs that the holder of a key may use: KEY VM.
func listVMs(s *scenario, args []string) (string, error) {
	list, err := s.client(args[0]).VMs(context.Background(), s.cluster.VM(args[1]).Caller)
	ids := []string{}
	for _, v := range list {
		ids = append(ids, v.ID)
	}
	return strings.Join(ids, " "), err
}

// removeData removes the data folder of a stopped VM: VM.
func removeData(s *scenario, args []string) (string, error) {
	return "", os.RemoveAll(s.cluster.DataDir(s.cluster.VM(args[0])))
}

// formatVM creates the data folder of a VM: VM FLAGS.
func formatVM(s *scenario, args []string) (string, error) {
	return "", s.cluster.Format(s.cluster.VM(args[0]), args[1:]...)
}

// corruptLog flips a bit at a third of a VM's replication log: VM.
func corruptLog(s *scenario, args []string) (string, error) {
	path := filepath.Join(s.cluster.DataDir(s.cluster.VM(args[0])), "log")
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	data[len(data)/3] ^= 0x40
	return "", os.WriteFile(path, data, 0o600)
}

// checkLogged checks whether a VM's log messages contain a text: VM TEXT.
func checkLogged(s *scenario, args []string) (string, error) {
	data, err := os.ReadFile(s.cluster.VM(args[0]).Log)
	if err != nil || !bytes.Contains(data, []byte(strings.Join(args[1:], " "))) {
		return "", fmt.Errorf("%s has not logged %q: %w", args[0], args[1:], err)
	}
	return "", nil
}

// checkStored checks whether a file in a VM's data folder contains a text, and
// prints its path: VM TEXT.
func checkStored(s *scenario, args []string) (string, error) {
	files, err := filepath.Glob(filepath.Join(s.cluster.DataDir(s.cluster.VM(args[0])), "*"))
	if err != nil || len(files) == 0 {
		return "", fmt.Errorf("data folder has no files to search: %w", err)
	}
	for _, file := range files {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte(args[1])) {
			return file, nil
		}
	}
	return "", fmt.Errorf("%q is in none of the %d files of the data folder", args[1], len(files))
}
