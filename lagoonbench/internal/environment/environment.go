// Package environment starts stand-ins in this process and entry VMs as
// processes of their own, all on loopback addresses, from a declared
// configuration. It is a small rig, not a cluster simulator.
package environment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/engine"
	"lagoonlink.org/lagoonbench/internal/standin/journal"
	"lagoonlink.org/lagoonbench/internal/standin/service"
	"lagoonlink.org/lagoonbench/internal/standin/store"
	"lagoonlink.org/lagoonbench/internal/standin/vmlist"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
)

// Config configures an environment.
type Config struct {
	// Programs is the folder with lagoonlink, lagoonctl and the deployments.
	Programs string
	// Deployment names the program that prints the configuration.
	Deployment string
	// VMs is how many entry VMs run, spread over the zones in turn.
	VMs int
	// Sets are further settings for every entry VM, as Path=Value.
	Sets []string
	Seed uint64
	// Engine shapes the engine stand-ins.
	Engine engine.Config
	// Work is how long a call of a plain service takes.
	Work time.Duration
	// Processors bounds the processors that each entry VM uses; 0 leaves it open.
	Processors int
	// KeepRecords bounds what each stream of the log keeps; 0 keeps all.
	KeepRecords int
	// ListLag is the age of what the list of VMs shows.
	ListLag   time.Duration
	Collector *report.Collector
}

// DefaultEngine is a small, fast engine for short runs.
func DefaultEngine() engine.Config {
	return engine.Config{
		Rate: 400, Knee: 16, MaxBatch: 64, Tick: 20 * time.Millisecond, SwapTime: 600 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		PrefillRate: 20000, CachedPrompts: 64, MeanTokens: 120, Tail: 0.7, Restart: time.Second,
	}
}

// Ports and keys of the rig.
const (
	portCallers    = 8080
	portPeers      = 8081
	portOperations = 8082
	peerKey        = "00112233445566778899aabbccddeeff"
	platformLog    = "127.1.0.1:7001"
	platformStore  = "127.1.0.1:7002"
	platformList   = "127.1.0.1:7003"
	// appendsASecond is the log's rate limit.
	appendsASecond = 400
	firstVersion   = 1
)

// VM is one entry VM process.
type VM struct {
	Name       string
	Zone       rollout.Zone
	Callers    string
	Peers      string
	Operations string

	settings string
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan error
	// stopped tells that the end of the process is wanted.
	stopped bool
	ready   atomic.Bool
}

// Environment is the running rig.
type Environment struct {
	Config        Config
	Configuration rollout.Configuration
	Document      []byte
	Journal       *journal.Journal
	Store         *store.Store
	List          *vmlist.List
	Engines       map[rollout.ServerName]*engine.Engine
	Services      map[rollout.ServerName]*service.Service
	Ledger        *service.Ledger
	VMs           []*VM
	folder        string
	killed        atomic.Bool
	versions      map[string]rollout.ConfigurationVersion
	http          *http.Client
	cancel        context.CancelFunc
	failures      chan error
}

// Start starts everything and waits until the configuration is in force.
func Start(ctx context.Context, c Config) (*Environment, error) {
	folder, err := os.MkdirTemp("", "lagoonbench-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &Environment{
		Config: c, folder: folder, cancel: cancel, failures: make(chan error, 64), Ledger: service.NewLedger(),
		Engines: map[rollout.ServerName]*engine.Engine{}, Services: map[rollout.ServerName]*service.Service{},
		versions: map[string]rollout.ConfigurationVersion{}, http: &http.Client{Timeout: time.Second},
	}
	if err := e.start(ctx); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Environment) start(ctx context.Context) error {
	document, err := e.Run(nil, e.Config.Deployment, "--loopback")
	if err != nil {
		return err
	}
	e.Document = document
	if e.Configuration, err = configuration.Decode(document); err != nil {
		return err
	}
	e.placeVMs()
	e.startPlatform(ctx)
	e.startServers(ctx)
	for _, v := range e.VMs {
		if err := e.StartVM(v); err != nil {
			return err
		}
	}
	go e.watch(ctx)
	if out, err := e.Publish(document); err != nil {
		return fmt.Errorf("publish the configuration: %w: %s", err, out)
	}
	return e.AwaitVersion(ctx, 1)
}

// Run runs a program of the folder to its end and returns its output.
func (e *Environment) Run(input []byte, program string, arguments ...string) ([]byte, error) {
	command := exec.Command(filepath.Join(e.Config.Programs, program), arguments...)
	command.Stdin = bytes.NewReader(input)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	if err := command.Run(); err != nil {
		return out.Bytes(), fmt.Errorf("%s: %w: %s", program, err, strings.TrimSpace(errOut.String()))
	}
	return out.Bytes(), nil
}

// Publish publishes a document as an operator would.
func (e *Environment) Publish(document []byte, arguments ...string) ([]byte, error) {
	return e.Run(document, "lagoonctl", append([]string{"publish", "--log", platformLog, "--author", "operator"}, append(arguments, "-")...)...)
}

// network returns the first two numbers of the deployment's addresses.
func (e *Environment) network() string {
	address := e.Configuration.Pools[0].Servers[0].Address
	return strings.Join(strings.Split(address, ".")[:2], ".")
}

// firstHost is the last number of the first entry VM's address in a zone.
const firstHost = 101

func (e *Environment) placeVMs() {
	zones := e.Configuration.Zones
	for i := range e.Config.VMs {
		zone := i % len(zones)
		ip := fmt.Sprintf("%s.%d.%d", e.network(), zone+1, firstHost+i/len(zones))
		e.VMs = append(e.VMs, &VM{
			Name:       fmt.Sprintf("%s-%d", strings.ToLower(string(zones[zone])), 1+i/len(zones)),
			Zone:       zones[zone],
			Callers:    fmt.Sprintf("%s:%d", ip, portCallers),
			Peers:      fmt.Sprintf("%s:%d", ip, portPeers),
			Operations: fmt.Sprintf("%s:%d", ip, portOperations),
		})
	}
}

func (e *Environment) startPlatform(ctx context.Context) {
	initial := map[rollout.ModelName]rollout.WeightVersion{}
	for _, p := range e.Configuration.Pools {
		for _, m := range p.Models {
			initial[m] = firstVersion
		}
	}
	var list []rollout.ListedVM
	for _, v := range e.VMs {
		list = append(list, rollout.ListedVM{Name: "entry/" + v.Name, Zone: v.Zone, Address: v.Peers})
	}
	for _, s := range e.servers() {
		list = append(list, rollout.ListedVM{Name: "server/" + string(s.Name), Zone: s.Zone, Address: s.Address})
	}
	e.Journal = journal.New(journal.Config{Address: platformLog, Seed: e.Config.Seed, AppendsASecond: appendsASecond, Keep: e.Config.KeepRecords})
	e.Store = store.New(platformStore, initial)
	e.List = vmlist.New(platformList, e.Config.ListLag, list)
	e.supervise(ctx, e.Journal.Run)
	e.supervise(ctx, e.Store.Run)
	e.supervise(ctx, e.List.Run)
}

func (e *Environment) servers() []rollout.Server {
	var all []rollout.Server
	for _, p := range e.Configuration.Pools {
		all = append(all, p.Servers...)
	}
	for _, s := range e.Configuration.Services {
		all = append(all, s.Servers...)
	}
	return all
}

func (e *Environment) startServers(ctx context.Context) {
	for _, p := range e.Configuration.Pools {
		for i, s := range p.Servers {
			c := e.Config.Engine
			c.Name, c.Address, c.ChecksFence = s.Name, s.Address, s.ChecksFence
			c.Seed = e.Config.Seed + uint64(i)
			c.Initial = map[rollout.ModelName]rollout.WeightVersion{}
			for _, m := range p.Models {
				c.Initial[m] = firstVersion
			}
			e.Engines[s.Name] = engine.New(c)
			e.supervise(ctx, e.Engines[s.Name].Run)
		}
	}
	for _, s := range e.Configuration.Services {
		for _, b := range s.Servers {
			one := service.New(service.Config{Name: b.Name, Address: b.Address, Work: e.Config.Work, Restart: time.Second, Ledger: e.Ledger})
			e.Services[b.Name] = one
			e.supervise(ctx, one.Run)
		}
	}
}

func (e *Environment) supervise(ctx context.Context, run func(context.Context) error) {
	go func() {
		if err := run(ctx); err != nil {
			e.failures <- err
		}
	}()
}

func (e *Environment) writeSettings(v *VM) error {
	v.settings = filepath.Join(e.folder, v.Name+".yaml")
	text := fmt.Sprintf(`VM:
  Name: %s
  Zone: %s
Listen:
  Callers: %s
  Peers: %s
  Operations: %s
Peers:
  Seeds: [%q]
  Keys: [%q]
Platform:
  Log: %s
  Weights: %s
  VMs: %s
Log:
  Level: warning
Timing:
  Notice: 500ms
`, v.Name, v.Zone, v.Callers, v.Peers, v.Operations, e.VMs[0].Peers, peerKey, platformLog, platformStore, platformList)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// StartVM starts an entry VM's process.
func (e *Environment) StartVM(v *VM) error {
	if err := e.writeSettings(v); err != nil {
		return err
	}
	arguments := []string{"serve", "--settings", v.settings}
	for _, s := range e.Config.Sets {
		arguments = append(arguments, "--set", s)
	}
	log, err := os.OpenFile(filepath.Join(e.folder, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(e.Config.Programs, "lagoonlink"), arguments...)
	command.Stdout, command.Stderr = log, log
	// No entry VM outlives the rig, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if e.Config.Processors > 0 {
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", e.Config.Processors))
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	v.mu.Lock()
	v.command, v.exited, v.stopped = command, exited, false
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		v.ready.Store(false)
		v.mu.Lock()
		wanted := v.stopped
		v.mu.Unlock()
		if !wanted {
			e.failures <- fmt.Errorf("entry VM %s ended by itself: %w: %s", v.Name, err, e.LogTail(v))
		}
		exited <- err
	}()
	return nil
}

// Signal sends a signal to an entry VM. A signal that ends it is wanted.
func (e *Environment) Signal(v *VM, s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.stopped = true
	}
	if s == syscall.SIGKILL {
		e.killed.Store(true)
	}
	return v.command.Process.Signal(s)
}

// StopVM stops an entry VM gracefully and returns how it ended.
func (e *Environment) StopVM(ctx context.Context, v *VM) error {
	if err := e.Signal(v, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-v.exited:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AwaitExit waits for an entry VM's process to end.
func (e *Environment) AwaitExit(ctx context.Context, v *VM) error {
	select {
	case err := <-v.exited:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Killed reports whether an entry VM was killed.
func (e *Environment) Killed() bool { return e.killed.Load() }

// tailBytes is how much of a log is shown.
const tailBytes = 2000

// clockTicks is how many ticks the kernel counts a second of processor time in.
const clockTicks = 100

// Processor returns the processor time that an entry VM has used.
func (e *Environment) Processor(v *VM) (time.Duration, error) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d: its statistics can't be read", pid)
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks, errors.Join(err1, err2)
}

// Memory returns the resident bytes of an entry VM's process.
func (e *Environment) Memory(v *VM) (uint64, error) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: its memory can't be read", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}

// LogTail returns the end of an entry VM's log.
func (e *Environment) LogTail(v *VM) string {
	data, err := os.ReadFile(filepath.Join(e.folder, v.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// Entries returns the callers' addresses of the ready entry VMs, as a balancer
// knows them.
func (e *Environment) Entries() []string {
	var ready []string
	for _, v := range e.VMs {
		if v.ready.Load() {
			ready = append(ready, v.Callers)
		}
	}
	return ready
}

// watchEvery is how often the balancer's part looks at readiness.
const watchEvery = 100 * time.Millisecond

// watch follows readiness, and counts configurations that go back.
func (e *Environment) watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var all sync.WaitGroup
		for _, v := range e.VMs {
			all.Go(func() { v.ready.Store(e.isReady(ctx, v)) })
		}
		all.Wait()
	}
}

func (e *Environment) isReady(ctx context.Context, v *VM) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operations+"/ready", nil)
	if err != nil {
		return false
	}
	answer, err := e.http.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Status is what is read of an entry VM's status page.
type Status struct {
	InForce struct {
		Version rollout.ConfigurationVersion
	}
	Traffic struct {
		SentBytes, ReceivedBytes, SentMessages, ReceivedMessages uint64
		ControlSentBytes, ControlReceivedBytes                   uint64
	}
	Process struct {
		Goroutines             int
		HeapBytes, SystemBytes uint64
	}
	VMs []struct {
		Name  string
		State string
	}
}

// Status asks an entry VM for its status page.
func (e *Environment) Status(ctx context.Context, v *VM) (Status, error) {
	var s Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operations+"/status", nil)
	if err != nil {
		return s, err
	}
	answer, err := e.http.Do(r)
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

// awaitPause is the wait between two looks.
const awaitPause = 20 * time.Millisecond

// awaitTimeout bounds the wait for a version to be in force.
const awaitTimeout = 30 * time.Second

// AwaitVersion waits until a version is in force on every living entry VM.
func (e *Environment) AwaitVersion(ctx context.Context, version rollout.ConfigurationVersion) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		behind := e.behind(ctx, version)
		if behind == "" {
			return nil
		}
		select {
		case err := <-e.failures:
			return err
		case <-ctx.Done():
			return fmt.Errorf("version %d is not in force on %s: %w", version, behind, ctx.Err())
		case <-time.After(awaitPause):
		}
	}
}

func (e *Environment) behind(ctx context.Context, version rollout.ConfigurationVersion) string {
	for _, v := range e.VMs {
		if v.isStopped() {
			continue
		}
		s, err := e.Status(ctx, v)
		if err != nil || s.InForce.Version < version {
			return v.Name
		}
		e.noteVersion(v, s.InForce.Version)
	}
	return ""
}

func (v *VM) isStopped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopped
}

// noteVersion counts a configuration that went back.
func (e *Environment) noteVersion(v *VM, version rollout.ConfigurationVersion) {
	if version < e.versions[v.Name] {
		e.Config.Collector.Change(func(r *report.Report) { r.ConfigReverts++ })
		e.Config.Collector.Note("configuration went back on %s: %d after %d", v.Name, version, e.versions[v.Name])
	}
	e.versions[v.Name] = max(version, e.versions[v.Name])
}

// Failure returns an error of a stand-in or an entry VM, if there was one.
func (e *Environment) Failure() error {
	select {
	case err := <-e.failures:
		return err
	default:
		return nil
	}
}

// stopTimeout bounds the wait for processes to end.
const stopTimeout = 10 * time.Second

// Stop stops everything, and reports an entry VM that did not end well.
func (e *Environment) Stop() error {
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	running := slices.DeleteFunc(slices.Clone(e.VMs), func(v *VM) bool { return v.command == nil || v.isStopped() })
	for _, v := range running {
		errs = append(errs, e.Signal(v, syscall.SIGTERM))
	}
	for _, v := range running {
		if err := e.AwaitExit(ctx, v); err != nil {
			errs = append(errs, fmt.Errorf("entry VM %s: %w: %s", v.Name, err, e.LogTail(v)))
			_ = e.Signal(v, syscall.SIGKILL)
		}
	}
	e.cancel()
	errs = append(errs, e.Failure())
	if errors.Join(errs...) == nil {
		errs = append(errs, os.RemoveAll(e.folder))
	}
	return errors.Join(errs...)
}
