// Package environment runs a test deployment on loopback addresses: entry VMs as
// separate processes, and stand-ins for the engines, services and platform
// services inside this process. It follows a declared configuration and does not
// simulate a cluster.
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

// Config configures an Environment.
type Config struct {
	// Programs is the directory of the compiled programs: lagoonlink, lagoonctl and
	// the deployments.
	Programs string
	// Deployment names the program that prints the declared configuration.
	Deployment string
	// VMs is the number of entry VMs, assigned to the zones in rotation.
	VMs int
	// ExtraSettings are further settings for every entry VM, as Path=Value.
	ExtraSettings []string
	Seed          uint64
	// Engine is the template for the configuration of each engine stand-in.
	Engine engine.Config
	// ProcessingTime is the time that a backend server of a service takes for a
	// call.
	ProcessingTime time.Duration
	// MaxProcs is GOMAXPROCS of each entry VM; 0 leaves the default.
	MaxProcs int
	// MaxRecordsPerStream limits the records that each stream of the log retains;
	// 0 means no limit.
	MaxRecordsPerStream int
	// ListLag is the delay after which the VM list shows a change.
	ListLag   time.Duration
	Collector *report.Collector
}

// DefaultEngine returns the configuration of a small, fast engine for short runs.
func DefaultEngine() engine.Config {
	return engine.Config{
		Rate: 400, Knee: 16, MaxBatch: 64, Tick: 20 * time.Millisecond, SwapTime: 600 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		PrefillRate: 20000, CachedPrompts: 64, MedianTokens: 120, LengthSigma: 0.7, RestartDelay: time.Second,
	}
}

// Ports and peer key of entry VMs, and addresses and settings of the stand-ins.
const (
	callersPort        = 8080
	peersPort          = 8081
	operationsPort     = 8082
	peerKey            = "00112233445566778899aabbccddeeff"
	logAddress         = "127.1.0.1:7001"
	weightStoreAddress = "127.1.0.1:7002"
	vmListAddress      = "127.1.0.1:7003"
	// maxAppendsPerSecond limits the append rate of the log, over all streams.
	maxAppendsPerSecond  = 400
	initialWeightVersion = 1
)

// VM is an entry VM that runs as a process.
type VM struct {
	Name string
	Zone rollout.Zone
	// Callers, Peers and Operations are the addresses that the VM listens on.
	Callers    string
	Peers      string
	Operations string

	settingsFile string
	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan error
	// stopRequested means that the exit of the process is not a failure.
	stopRequested bool
	ready         atomic.Bool
}

// Environment is a running test deployment.
type Environment struct {
	Config        Config
	Configuration rollout.Configuration
	// Document is the configuration as the deployment program printed it.
	Document []byte
	Journal  *journal.Journal
	Store    *store.Store
	List     *vmlist.List
	Engines  map[rollout.ServerName]*engine.Engine
	Services map[rollout.ServerName]*service.Service
	// Ledger counts the calls that the service stand-ins executed.
	Ledger *service.Ledger
	VMs    []*VM
	dir    string
	killed atomic.Bool
	// versions holds the highest configuration version seen on each entry VM.
	versions map[string]rollout.ConfigurationVersion
	client   *http.Client
	cancel   context.CancelFunc
	// failures receives errors of stand-ins and unexpected exits of entry VMs.
	failures chan error
}

// Start starts the stand-ins and entry VMs, publishes the configuration and waits
// until it is in force on every entry VM. On an error it stops what it started.
func Start(ctx context.Context, c Config) (*Environment, error) {
	dir, err := os.MkdirTemp("", "lagoonbench-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &Environment{
		Config: c, dir: dir, cancel: cancel, failures: make(chan error, 64), Ledger: service.NewLedger(),
		Engines: map[rollout.ServerName]*engine.Engine{}, Services: map[rollout.ServerName]*service.Service{},
		versions: map[string]rollout.ConfigurationVersion{}, client: &http.Client{Timeout: time.Second},
	}
	if err := e.start(ctx); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Environment) start(ctx context.Context) error {
	document, err := e.RunProgram(nil, e.Config.Deployment, "--loopback")
	if err != nil {
		return err
	}
	e.Document = document
	if e.Configuration, err = configuration.Decode(document); err != nil {
		return err
	}
	e.assignAddresses()
	e.startPlatform(ctx)
	e.startServers(ctx)
	for _, v := range e.VMs {
		if err := e.StartVM(v); err != nil {
			return err
		}
	}
	go e.pollReadiness(ctx)
	if out, err := e.Publish(document); err != nil {
		return fmt.Errorf("publish the configuration: %w: %s", err, out)
	}
	return e.AwaitVersion(ctx, 1)
}

// RunProgram runs one of the compiled programs to completion and returns its
// standard output. An error contains the standard error output.
func (e *Environment) RunProgram(input []byte, program string, arguments ...string) ([]byte, error) {
	command := exec.Command(filepath.Join(e.Config.Programs, program), arguments...)
	command.Stdin = bytes.NewReader(input)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	if err := command.Run(); err != nil {
		return stdout.Bytes(), fmt.Errorf("%s: %w: %s", program, err, strings.TrimSpace(stderr.String()))
	}
	return stdout.Bytes(), nil
}

// Publish publishes a configuration document with lagoonctl, as an operator does.
func (e *Environment) Publish(document []byte, arguments ...string) ([]byte, error) {
	return e.RunProgram(document, "lagoonctl", append([]string{"publish", "--log", logAddress, "--author", "operator"}, append(arguments, "-")...)...)
}

// networkPrefix returns the first two octets of the addresses of the deployment.
func (e *Environment) networkPrefix() string {
	address := e.Configuration.Pools[0].Servers[0].Address
	return strings.Join(strings.Split(address, ".")[:2], ".")
}

// firstVMHost is the last octet of the address of the first entry VM in a zone.
const firstVMHost = 101

func (e *Environment) assignAddresses() {
	zones := e.Configuration.Zones
	for i := range e.Config.VMs {
		zone := i % len(zones)
		ip := fmt.Sprintf("%s.%d.%d", e.networkPrefix(), zone+1, firstVMHost+i/len(zones))
		e.VMs = append(e.VMs, &VM{
			Name:       fmt.Sprintf("%s-%d", strings.ToLower(string(zones[zone])), 1+i/len(zones)),
			Zone:       zones[zone],
			Callers:    fmt.Sprintf("%s:%d", ip, callersPort),
			Peers:      fmt.Sprintf("%s:%d", ip, peersPort),
			Operations: fmt.Sprintf("%s:%d", ip, operationsPort),
		})
	}
}

func (e *Environment) startPlatform(ctx context.Context) {
	versions := map[rollout.ModelName]rollout.WeightVersion{}
	for _, p := range e.Configuration.Pools {
		for _, m := range p.Models {
			versions[m] = initialWeightVersion
		}
	}
	var list []rollout.ListedVM
	for _, v := range e.VMs {
		list = append(list, rollout.ListedVM{Name: "entry/" + v.Name, Zone: v.Zone, Address: v.Peers})
	}
	for _, s := range e.servers() {
		list = append(list, rollout.ListedVM{Name: "server/" + string(s.Name), Zone: s.Zone, Address: s.Address})
	}
	e.Journal = journal.New(journal.Config{Address: logAddress, Seed: e.Config.Seed, AppendsPerSecond: maxAppendsPerSecond, MaxRecordsPerStream: e.Config.MaxRecordsPerStream})
	e.Store = store.New(weightStoreAddress, versions)
	e.List = vmlist.New(vmListAddress, e.Config.ListLag, list)
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
				c.Initial[m] = initialWeightVersion
			}
			e.Engines[s.Name] = engine.New(c)
			e.supervise(ctx, e.Engines[s.Name].Run)
		}
	}
	for _, s := range e.Configuration.Services {
		for _, b := range s.Servers {
			standIn := service.New(service.Config{Name: b.Name, Address: b.Address, ProcessingTime: e.Config.ProcessingTime, RestartDelay: time.Second, Ledger: e.Ledger})
			e.Services[b.Name] = standIn
			e.supervise(ctx, standIn.Run)
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
	v.settingsFile = filepath.Join(e.dir, v.Name+".yaml")
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
`, v.Name, v.Zone, v.Callers, v.Peers, v.Operations, e.VMs[0].Peers, peerKey, logAddress, weightStoreAddress, vmListAddress)
	return os.WriteFile(v.settingsFile, []byte(text), 0o600)
}

// StartVM starts the process of an entry VM. An exit that was not requested with
// Signal or StopVM is recorded as a failure.
func (e *Environment) StartVM(v *VM) error {
	if err := e.writeSettings(v); err != nil {
		return err
	}
	arguments := []string{"serve", "--settings", v.settingsFile}
	for _, s := range e.Config.ExtraSettings {
		arguments = append(arguments, "--set", s)
	}
	logFile, err := os.OpenFile(filepath.Join(e.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(filepath.Join(e.Config.Programs, "lagoonlink"), arguments...)
	command.Stdout, command.Stderr = logFile, logFile
	// The kernel kills the entry VM if this process dies without stopping it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if e.Config.MaxProcs > 0 {
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", e.Config.MaxProcs))
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	v.mu.Lock()
	v.command, v.exited, v.stopRequested = command, exited, false
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		v.ready.Store(false)
		v.mu.Lock()
		requested := v.stopRequested
		v.mu.Unlock()
		if !requested {
			e.failures <- fmt.Errorf("entry VM %s exited unexpectedly: %w: %s", v.Name, err, e.LogTail(v))
		}
		exited <- err
	}()
	return nil
}

// Signal sends a signal to the process of an entry VM. After SIGKILL or SIGTERM
// the exit of the process is expected.
func (e *Environment) Signal(v *VM, s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.stopRequested = true
	}
	if s == syscall.SIGKILL {
		e.killed.Store(true)
	}
	return v.command.Process.Signal(s)
}

// StopVM sends SIGTERM to an entry VM and waits for its process to exit. It
// returns the error of the process, or of ctx if that ends first.
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

// AwaitExit waits for the process of an entry VM to exit. It returns the error of
// the process, or of ctx if that ends first.
func (e *Environment) AwaitExit(ctx context.Context, v *VM) error {
	select {
	case err := <-v.exited:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Killed reports whether any entry VM has been sent SIGKILL.
func (e *Environment) Killed() bool { return e.killed.Load() }

const logTailBytes = 2000

// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc.
const clockTicksPerSecond = 100

// CPUTime returns the CPU time, user and system, that the process of an entry VM
// has used.
func (e *Environment) CPUTime(v *VM) (time.Duration, error) {
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
		return 0, fmt.Errorf("process %d: malformed /proc stat file", pid)
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, errors.Join(err1, err2)
}

// ResidentMemory returns the resident set size of the process of an entry VM, in
// bytes.
func (e *Environment) ResidentMemory(v *VM) (uint64, error) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: malformed /proc statm file", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}

// LogTail returns the last logTailBytes of the log of an entry VM, or the text of
// the error if the log can't be read.
func (e *Environment) LogTail(v *VM) string {
	data, err := os.ReadFile(filepath.Join(e.dir, v.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// Entries returns the addresses for callers of the entry VMs that are ready, as a
// load balancer would select from.
func (e *Environment) Entries() []string {
	var ready []string
	for _, v := range e.VMs {
		if v.ready.Load() {
			ready = append(ready, v.Callers)
		}
	}
	return ready
}

const readinessInterval = 100 * time.Millisecond

// pollReadiness plays the role of the load balancer's health check.
func (e *Environment) pollReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var wg sync.WaitGroup
		for _, v := range e.VMs {
			wg.Go(func() { v.ready.Store(e.isReady(ctx, v)) })
		}
		wg.Wait()
	}
}

func (e *Environment) isReady(ctx context.Context, v *VM) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operations+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Status is the part of the status page of an entry VM that the bench uses.
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

// Status requests the status page of an entry VM.
func (e *Environment) Status(ctx context.Context, v *VM) (Status, error) {
	var s Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operations+"/status", nil)
	if err != nil {
		return s, err
	}
	response, err := e.client.Do(r)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

const versionPollInterval = 20 * time.Millisecond

const versionTimeout = 30 * time.Second

// AwaitVersion waits until the given version or a later one is in force on every
// entry VM that has not been stopped. It returns early with the first failure of a
// stand-in or an entry VM.
func (e *Environment) AwaitVersion(ctx context.Context, version rollout.ConfigurationVersion) error {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for {
		behind := e.firstVMBehind(ctx, version)
		if behind == "" {
			return nil
		}
		select {
		case err := <-e.failures:
			return err
		case <-ctx.Done():
			return fmt.Errorf("version %d is not in force on %s: %w", version, behind, ctx.Err())
		case <-time.After(versionPollInterval):
		}
	}
}

// firstVMBehind returns the name of the first running entry VM whose version in
// force is older than the given one or unknown, or "" if there is none.
func (e *Environment) firstVMBehind(ctx context.Context, version rollout.ConfigurationVersion) string {
	for _, v := range e.VMs {
		if v.isStopRequested() {
			continue
		}
		s, err := e.Status(ctx, v)
		if err != nil || s.InForce.Version < version {
			return v.Name
		}
		e.recordVersion(v, s.InForce.Version)
	}
	return ""
}

func (v *VM) isStopRequested() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopRequested
}

// recordVersion counts a revert if the version in force on an entry VM is older
// than one seen before.
func (e *Environment) recordVersion(v *VM, version rollout.ConfigurationVersion) {
	if version < e.versions[v.Name] {
		e.Config.Collector.Update(func(r *report.Report) { r.ConfigReverts++ })
		e.Config.Collector.Note("configuration reverted on %s: version %d after %d", v.Name, version, e.versions[v.Name])
	}
	e.versions[v.Name] = max(version, e.versions[v.Name])
}

// Failure returns the next recorded failure of a stand-in or an entry VM, or nil
// if there is none.
func (e *Environment) Failure() error {
	select {
	case err := <-e.failures:
		return err
	default:
		return nil
	}
}

const stopTimeout = 10 * time.Second

// Stop stops the entry VMs and stand-ins. It returns the errors of entry VMs that
// did not exit cleanly, joined with the next recorded failure. If there are none,
// it removes the directory with logs and settings.
func (e *Environment) Stop() error {
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	running := slices.DeleteFunc(slices.Clone(e.VMs), func(v *VM) bool { return v.command == nil || v.isStopRequested() })
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
		errs = append(errs, os.RemoveAll(e.dir))
	}
	return errors.Join(errs...)
}
