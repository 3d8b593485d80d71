package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/lagoonbench/internal/environment"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/caller"
	"lagoonlink.org/lagoonbench/internal/standin/engine"
	"lagoonlink.org/lagoonbench/internal/standin/journal"
	"lagoonlink.org/lagoonbench/internal/standin/service"
	"lagoonlink.org/rollout"
)

func faultScenarios() []Scenario {
	return []Scenario{
		{
			Name: "kill", Description: "entry VMs are killed in the middle of steps and restarted", Deployment: "tsehay", VMs: 6, Load: sustainedLoad(),
			Events: killVMs,
		},
		{
			Name: "pause", Description: "entry VMs are suspended for 0.5 to 4 s and resumed", Deployment: "tsehay", VMs: 6, Load: sustainedLoad(),
			Events: pauseVMs,
		},
		{
			Name: "crash", Description: "engines and services crash, weight swaps fail, streams are truncated, corrupt or without version labels", Deployment: "tsehay", VMs: 3,
			Load: sustainedLoad(), Events: crashServers,
		},
		{
			Name: "platform-down", Description: "the log, the weight store and the VM list are down, then the log is slow and loses replies", Deployment: "tsehay", VMs: 6,
			Load: sustainedLoad(), Events: takePlatformDown,
		},
		{
			Name: "rolling-restart", Description: "every entry VM is stopped gracefully and replaced", Deployment: "tsehay", VMs: 6, Load: sustainedLoad(),
			Events: restartVMs,
		},
		{
			Name: "sigterm", Description: "an entry VM is stopped with SIGTERM while it relays 200 streams", Deployment: "tsehay", VMs: 3, Load: minimalLoad(),
			ConfigureEnvironment: func(c *environment.Config) { c.Engine.Rate = 100 }, Events: stopWhileStreaming,
		},
		{
			Name: "leaving", Description: "an engine and a backend server of a service are listed as leaving", Deployment: "tsehay", VMs: 6, Load: sustainedLoad(),
			Events: markServersLeaving,
		},
		{
			Name: "poison", Description: "three requests crash every engine that runs them and are sent repeatedly", Deployment: "tsehay", VMs: 6,
			Load: sustainedLoad(), Events: sendPoisonRequests,
		},
		{
			Name: "config-race", Description: "20 operators publish 200 changes concurrently to 15 entry VMs, with log outages, lost replies and restarts", Deployment: "tsehay",
			VMs: 15, Load: minimalLoad(), ConfigureEnvironment: func(c *environment.Config) {
				c.MaxRecordsPerStream = 150
				c.ExtraSettings = append(c.ExtraSettings, "Timing.SnapshotEvery=1s")
			},
			Events: racePublications,
		},
	}
}

// sustainedLoad keeps trainers and callers busy while faults are injected.
func sustainedLoad() Load {
	l := DefaultLoad()
	l.Trainers, l.Steps, l.Groups, l.TrainingTime, l.MinDuration = 3, 5, 8, time.Second, 14*time.Second
	return l
}

// minimalLoad runs one trainer for one short step and no callers, for scenarios
// whose events generate the load.
func minimalLoad() Load {
	l := DefaultLoad()
	l.Trainers, l.InteractiveRate, l.ServiceRate = 1, 0, 0
	l.Steps, l.Groups = 1, 1
	return l
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

const restartDelay = 1500 * time.Millisecond

func killVMs(ctx context.Context, r *Run) error {
	for i := range r.Environment.VMs[:4] {
		sleep(ctx, time.Second)
		v := r.Environment.VMs[i]
		r.Collector.Note("kill %s", v.Name)
		if err := r.Environment.Signal(v, syscall.SIGKILL); err != nil {
			return err
		}
		// AwaitExit returns an error for the killed process, as expected.
		_ = r.Environment.AwaitExit(ctx, v)
		sleep(ctx, restartDelay)
		if err := r.Environment.StartVM(v); err != nil {
			return err
		}
	}
	return r.Environment.AwaitVersion(ctx, 1)
}

func pauseVMs(ctx context.Context, r *Run) error {
	for i, d := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		sleep(ctx, time.Second)
		v := r.Environment.VMs[i]
		r.Collector.Note("suspend %s for %s", v.Name, d)
		if err := r.Environment.Signal(v, syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, d)
		if err := r.Environment.Signal(v, syscall.SIGCONT); err != nil {
			return err
		}
	}
	return r.Environment.AwaitVersion(ctx, 1)
}

func crashServers(ctx context.Context, r *Run) error {
	for _, e := range r.Environment.Engines {
		e.SetFaults(func(f *engine.Faults) {
			f.FailSwaps, f.TruncateShare, f.GarbageShare, f.ForeignShare, f.UnlabeledShare = 0.3, 0.02, 0.01, 0.01, 0.02
		})
	}
	for _, s := range r.Environment.Services {
		s.SetFaults(func(f *service.Faults) { f.DropResponseEvery, f.TruncateEvery = 17, 23 })
	}
	random := rand.New(rand.NewPCG(r.Options.Seed, 9))
	servers := r.Environment.Configuration.Pools[0].Servers
	for range 6 {
		sleep(ctx, 1200*time.Millisecond)
		name := servers[random.IntN(len(servers))].Name
		r.Collector.Note("crash engine %s", name)
		r.Environment.Engines[name].Crash()
	}
	backends := r.Environment.Configuration.Services[0].Servers
	r.Environment.Services[backends[0].Name].Crash()
	sleep(ctx, time.Second)
	return nil
}

func takePlatformDown(ctx context.Context, r *Run) error {
	sleep(ctx, time.Second)
	r.Collector.Note("platform services are down")
	r.Environment.Journal.SetFaults(func(f *journal.Faults) { f.Outage = true })
	r.Environment.Store.SetOutage(true)
	r.Environment.List.SetOutage(true)
	sleep(ctx, 5*time.Second)
	v := r.Environment.VMs[1]
	r.Collector.Note("restart %s during the outage", v.Name)
	if err := r.Environment.StopVM(ctx, v); err != nil {
		return err
	}
	if err := r.Environment.StartVM(v); err != nil {
		return err
	}
	if err := r.Environment.AwaitVersion(ctx, 1); err != nil {
		return fmt.Errorf("entry VM restarted while the log was down: %w", err)
	}
	r.Collector.Note("%s loaded its configuration from its peers", v.Name)
	sleep(ctx, 2*time.Second)
	r.Collector.Note("platform services are up again; the log is slow and loses replies")
	r.Environment.Journal.SetFaults(func(f *journal.Faults) {
		f.Outage, f.LoseReplies, f.Delay = false, 0.5, 100*time.Millisecond
	})
	r.Environment.Store.SetOutage(false)
	r.Environment.List.SetOutage(false)
	return changeConfiguration(ctx, r)
}

func restartVMs(ctx context.Context, r *Run) error {
	for _, v := range r.Environment.VMs {
		start := time.Now()
		if err := r.Environment.StopVM(ctx, v); err != nil {
			return fmt.Errorf("stop %s: %w", v.Name, err)
		}
		r.Collector.Note("%s stopped after %.1f s", v.Name, time.Since(start).Seconds())
		if err := r.Environment.StartVM(v); err != nil {
			return err
		}
		sleep(ctx, 700*time.Millisecond)
	}
	return r.Environment.AwaitVersion(ctx, 1)
}

const streamCount = 200

// stopWhileStreaming opens streamCount streams through one entry VM, stops the VM
// gracefully and checks that every stream is answered completely.
func stopWhileStreaming(ctx context.Context, r *Run) error {
	v := r.Environment.VMs[0]
	declared := r.Environment.Configuration.Callers[0]
	c := caller.New(caller.Config{
		Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: func() []string { return []string{v.Callers} },
		Rate: 1, Timeout: time.Minute, Seed: r.Options.Seed, Collector: r.Collector, Killed: r.Environment.Killed,
	})
	var wg sync.WaitGroup
	for i := range streamCount {
		wg.Go(func() { c.Complete(ctx, "notices", fmt.Sprintf("long question %d", i), 1024) })
	}
	sleep(ctx, 500*time.Millisecond)
	running := 0
	for _, e := range r.Environment.Engines {
		running += e.Running()
	}
	start := time.Now()
	err := r.Environment.StopVM(ctx, v)
	r.Collector.Note("stopped %s with %d streams running on the engines; it took %.1f s", v.Name, running, time.Since(start).Seconds())
	wg.Wait()
	complete := 0
	r.Collector.Update(func(p *report.Report) { complete = p.Answered["Interactive"] })
	if complete != streamCount {
		err = errors.Join(err, fmt.Errorf("complete answers: got %d, want %d", complete, streamCount))
	}
	return err
}

// leavingGracePeriod is how long a server may still receive new work after it is
// marked as leaving. It includes the delay of the VM list.
const leavingGracePeriod = 5 * time.Second

func markServersLeaving(ctx context.Context, r *Run) error {
	sleep(ctx, time.Second)
	engineServer := r.Environment.Configuration.Pools[0].Servers[0]
	backend := r.Environment.Configuration.Services[0].Servers[0]
	markedAt := time.Now()
	checkArrival := func(at time.Time) {
		if at.Sub(markedAt) > leavingGracePeriod {
			r.Collector.Update(func(p *report.Report) { p.NewWorkAfterLeaving++ })
		}
	}
	r.Environment.Engines[engineServer.Name].OnStream(checkArrival)
	r.Environment.Services[backend.Name].OnCall(checkArrival)
	r.Environment.List.SetLeaving(engineServer.Address, true)
	r.Environment.List.SetLeaving(backend.Address, true)
	r.Collector.Note("%s and %s are marked as leaving; the VM list shows it after %s", engineServer.Name, backend.Name, r.Environment.Config.ListLag)
	sleep(ctx, 9*time.Second)
	return nil
}

// sendPoisonRequests repeatedly sends requests that crash the engines that run
// them, through all entry VMs. It returns an error if one request crashes more
// than maxCrashesPerRequest engines.
func sendPoisonRequests(ctx context.Context, r *Run) error {
	declared := r.Environment.Configuration.Callers[0]
	before := engineCrashes(r)
	for i := range 3 {
		c := caller.New(caller.Config{
			Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: r.Environment.Entries,
			Rate: 1, Timeout: 10 * time.Second, Seed: r.Options.Seed, Collector: r.Collector, Killed: r.Environment.Killed,
		})
		for range 8 {
			c.Complete(ctx, "answers", fmt.Sprintf("%s %d", engine.PoisonPrompt, i), 60)
			sleep(ctx, 100*time.Millisecond)
		}
		r.Collector.Note("request %d, sent 8 times, crashed %d engines", i+1, engineCrashes(r)-before)
		if engineCrashes(r)-before > maxCrashesPerRequest {
			return fmt.Errorf("engines crashed by one request: got %d, want at most %d", engineCrashes(r)-before, maxCrashesPerRequest)
		}
		before = engineCrashes(r)
		sleep(ctx, 2*time.Second)
	}
	return nil
}

const maxCrashesPerRequest = 2

func engineCrashes(r *Run) int {
	count := 0
	for _, e := range r.Environment.Engines {
		count += e.Counts().Crashes
	}
	return count
}

// Parameters of racePublications.
const (
	operatorCount      = 20
	changesPerOperator = 10
	// maxPublishDelay limits the random delay before each change.
	maxPublishDelay = 1500 * time.Millisecond
	// originalTimeout is the text in the document that each change replaces.
	originalTimeout = "Timeout: 5s"
)

// racePublications runs operators that publish concurrently, each change with a
// different timeout. It checks that every version was won by exactly one
// publication and that all entry VMs reach the highest version.
func racePublications(ctx context.Context, r *Run) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	winsByVersion := map[string]int{}
	refused, unknown := 0, 0
	stop := make(chan struct{})
	wg.Go(func() { injectRaceFaults(ctx, r, stop) })
	var publishers sync.WaitGroup
	for o := range operatorCount {
		publishers.Go(func() {
			random := rand.New(rand.NewPCG(r.Options.Seed, uint64(o)))
			for c := range changesPerOperator {
				sleep(ctx, time.Duration(random.Int64N(int64(maxPublishDelay))))
				document := strings.Replace(string(r.Environment.Document), originalTimeout, fmt.Sprintf("Timeout: %dms", 5000+o*changesPerOperator+c), 1)
				out, err := r.Environment.Publish([]byte(document), "--json", "--timeout", "20s")
				mu.Lock()
				switch {
				case err == nil:
					winsByVersion[publishedVersion(out)]++
				case strings.Contains(err.Error(), "RefusedBase"):
					refused++
				default:
					unknown++
					r.Collector.Note("operator %d: %v", o, err)
				}
				mu.Unlock()
			}
		})
	}
	publishers.Wait()
	close(stop)
	wg.Wait()
	highest := rollout.ConfigurationVersion(len(winsByVersion) + 1)
	for v, n := range winsByVersion {
		if n != 1 {
			r.Collector.Update(func(p *report.Report) { p.ConfigReverts++ })
			r.Collector.Note("version %s was won by %d publications", v, n)
		}
	}
	err := r.Environment.AwaitVersion(ctx, highest)
	r.Collector.Note("%d changes accepted, %d refused, %d with unknown outcome; version %d is in force on all entry VMs", len(winsByVersion), refused, unknown, highest)
	return err
}

// publishedVersion parses the JSON output of lagoonctl publish.
func publishedVersion(out []byte) string {
	_, rest, _ := strings.Cut(string(out), `"Version": `)
	number, _, _ := strings.Cut(rest, ",")
	return number
}

// injectRaceFaults makes the log lose replies and fail, and kills and restarts
// entry VMs in turn, until stop is closed.
func injectRaceFaults(ctx context.Context, r *Run, stop chan struct{}) {
	j := r.Environment.Journal
	for i := 0; ; i++ {
		j.SetFaults(func(f *journal.Faults) { f.LoseReplies = 0.2 })
		select {
		case <-stop:
			j.SetFaults(func(f *journal.Faults) { *f = journal.Faults{} })
			return
		case <-time.After(1500 * time.Millisecond):
		}
		j.SetFaults(func(f *journal.Faults) { f.Outage = true })
		sleep(ctx, 300*time.Millisecond)
		j.SetFaults(func(f *journal.Faults) { f.Outage = false })
		v := r.Environment.VMs[i%len(r.Environment.VMs)]
		if r.Environment.Signal(v, syscall.SIGKILL) == nil {
			_ = r.Environment.AwaitExit(ctx, v)
			if err := r.Environment.StartVM(v); err != nil {
				r.Collector.Note("restart %s: %v", v.Name, err)
			}
		}
	}
}
