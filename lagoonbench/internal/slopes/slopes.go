// Package slopes measures how the resource usage of an entry VM grows with the
// size of the deployment and with its load. It fits a line to each measurement
// and extrapolates it to the design size.
package slopes

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"lagoonlink.org/declare"
	"lagoonlink.org/lagoonbench/internal/environment"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/caller"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/sample"
)

// Design size, to which the fitted lines are extrapolated.
const (
	designVMs            = 410
	designEngines        = 1600
	designSamplesPerStep = 1024
	designRequestsPerVM  = 4800.0 / designVMs
	designTokensPerVM    = 1.1e6 / designVMs
)

// Config configures the measurement.
type Config struct {
	Programs string
	Seed     uint64
	// Settle is the wait before each measurement, and Duration is the duration of a
	// measurement.
	Settle, Duration time.Duration
}

// Slope is a line fitted to measured points.
type Slope struct {
	// What names the measured quantity, Unit its unit, and Per the unit of X.
	What, Unit, Per string
	X, Y            []float64
	Intercept       float64
	Gradient        float64
	// Residual is the largest deviation of a point from the line.
	Residual float64
	// Design is the value of the line at the design size DesignX.
	DesignX, Design float64
}

func fitLine(what, unit, per string, x, y []float64, designX float64) Slope {
	s := Slope{What: what, Unit: unit, Per: per, X: x, Y: y, DesignX: designX}
	s.Intercept, s.Gradient = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		s.Residual = max(s.Residual, math.Abs(y[i]-s.valueAt(x[i])))
	}
	s.Design = s.valueAt(designX)
	return s
}

func (s Slope) valueAt(x float64) float64 { return s.Intercept + s.Gradient*x }

// Measure runs all measurements, reports progress to the writer, and returns the
// fitted lines.
func Measure(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	idle, err := vmSlopes(ctx, c, progress)
	if err != nil {
		return nil, err
	}
	requests, err := requestSlopes(ctx, c, progress)
	if err != nil {
		return nil, err
	}
	all := append(idle, requests...)
	all = append(all, engineSlopes()...)
	return append(all, stepSlopes()...), nil
}

// usage is the resource usage of an entry VM, either per second or since its
// start: seconds of CPU time, bytes sent and received on the peer port, peer
// messages sent, and bytes of platform and load report traffic. The resident
// memory is the current value in bytes.
type usage struct {
	processor, memory, peerBytes, messages, controlBytes float64
}

const settlePerVM = 400 * time.Millisecond

var vmCounts = []int{5, 15, 40, 80}

// vmSlopes measures the usage of idle entry VMs, and the time until a
// configuration change is in force, by the number of entry VMs.
func vmSlopes(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	var x []float64
	columns := make([][]float64, 6)
	for _, n := range vmCounts {
		u, inForceSeconds, err := measureIdle(ctx, c, n)
		if err != nil {
			return nil, fmt.Errorf("%d entry VMs: %w", n, err)
		}
		fmt.Fprintf(progress, "%d idle entry VMs: %+v, configuration change in force after %.3f s\n", n, u, inForceSeconds)
		x = append(x, float64(n))
		for i, v := range []float64{u.processor * 100, u.memory / (1 << 20), u.peerBytes / 1000, u.messages, u.controlBytes / 1000, inForceSeconds} {
			columns[i] = append(columns[i], v)
		}
	}
	return []Slope{
		fitLine("processor, idle entry VM", "% of a core", "entry VM in the deployment", x, columns[0], designVMs),
		fitLine("resident memory, idle entry VM", "MB", "entry VM in the deployment", x, columns[1], designVMs),
		fitLine("peer port, sent and received", "KB/s", "entry VM in the deployment", x, columns[2], designVMs),
		fitLine("peer messages sent", "messages/s", "entry VM in the deployment", x, columns[3], designVMs),
		fitLine("platform and load reports, sent and received", "KB/s", "entry VM in the deployment", x, columns[4], designVMs),
		fitLine("a configuration change in force everywhere", "s", "entry VM in the deployment", x, columns[5], designVMs),
	}, nil
}

func startEnvironment(ctx context.Context, c Config, vms int) (*environment.Environment, error) {
	return environment.Start(ctx, environment.Config{
		Programs: c.Programs, Deployment: "tsehay", VMs: vms, Seed: c.Seed, Engine: environment.DefaultEngine(),
		ProcessingTime: time.Millisecond, ListLag: time.Second, Collector: report.NewCollector("slopes", c.Seed),
	})
}

// measureIdle returns the mean usage of idle entry VMs, and the seconds until a
// configuration change is in force on all of them.
func measureIdle(ctx context.Context, c Config, vms int) (usage, float64, error) {
	e, err := startEnvironment(ctx, c, vms)
	if err != nil {
		return usage{}, 0, err
	}
	defer e.Stop()
	// The time until membership updates about joining VMs stop circulating grows
	// with the number of VMs.
	time.Sleep(c.Settle + time.Duration(vms)*settlePerVM)
	u, err := meanUsage(ctx, e, c.Duration)
	if err != nil {
		return usage{}, 0, err
	}
	changed := strings.Replace(string(e.Document), "MaxConcurrency: 32", "MaxConcurrency: 24", 1)
	if _, err := e.Publish([]byte(changed)); err != nil {
		return usage{}, 0, err
	}
	started := time.Now()
	err = e.AwaitVersion(ctx, 2)
	return u, time.Since(started).Seconds(), err
}

// cumulativeUsage returns the usage since the start of the entry VM.
func cumulativeUsage(ctx context.Context, e *environment.Environment, v *environment.VM) (usage, error) {
	s, err := e.Status(ctx, v)
	if err != nil {
		return usage{}, err
	}
	processor, err := e.CPUTime(v)
	if err != nil {
		return usage{}, err
	}
	memory, err := e.ResidentMemory(v)
	return usage{
		processor: processor.Seconds(), memory: float64(memory),
		peerBytes: float64(s.Traffic.SentBytes + s.Traffic.ReceivedBytes), messages: float64(s.Traffic.SentMessages),
		controlBytes: float64(s.Traffic.ControlSentBytes + s.Traffic.ControlReceivedBytes),
	}, err
}

// meanUsage returns the usage per second during the given duration, averaged over
// all entry VMs.
func meanUsage(ctx context.Context, e *environment.Environment, duration time.Duration) (usage, error) {
	var mean usage
	started := time.Now()
	before := make([]usage, len(e.VMs))
	for i, v := range e.VMs {
		var err error
		if before[i], err = cumulativeUsage(ctx, e, v); err != nil {
			return mean, err
		}
	}
	time.Sleep(duration)
	seconds := time.Since(started).Seconds()
	n := float64(len(e.VMs))
	for i, v := range e.VMs {
		after, err := cumulativeUsage(ctx, e, v)
		if err != nil {
			return mean, err
		}
		mean.processor += (after.processor - before[i].processor) / seconds / n
		mean.memory += after.memory / n
		mean.peerBytes += (after.peerBytes - before[i].peerBytes) / seconds / n
		mean.messages += (after.messages - before[i].messages) / seconds / n
		mean.controlBytes += (after.controlBytes - before[i].controlBytes) / seconds / n
	}
	return mean, nil
}

// requestRates are in streamed completions per second through one entry VM.
var requestRates = []float64{10, 20, 40, 80}

func requestSlopes(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	var requests, tokens, processorUse, memory []float64
	for _, rate := range requestRates {
		u, tokensPerSecond, requestsPerSecond, err := measureRelaying(ctx, c, rate)
		if err != nil {
			return nil, fmt.Errorf("%.0f requests/s: %w", rate, err)
		}
		fmt.Fprintf(progress, "%.0f requests/s, %.0f tokens/s: %+v\n", requestsPerSecond, tokensPerSecond, u)
		requests, tokens = append(requests, requestsPerSecond), append(tokens, tokensPerSecond)
		processorUse, memory = append(processorUse, u.processor*100), append(memory, u.memory/(1<<20))
	}
	return []Slope{
		fitLine("processor, relaying answers of about 60 tokens", "% of a core", "request/s", requests, processorUse, designRequestsPerVM),
		fitLine("processor, by the tokens relayed", "% of a core", "token/s", tokens, processorUse, designTokensPerVM),
		fitLine("resident memory, relaying", "MB", "request/s", requests, memory, designRequestsPerVM),
	}, nil
}

// measureRelaying returns the usage and the measured rates of one entry VM that
// relays completions.
func measureRelaying(ctx context.Context, c Config, rate float64) (u usage, tokensPerSecond, requestsPerSecond float64, err error) {
	e, err := startEnvironment(ctx, c, 1)
	if err != nil {
		return u, 0, 0, err
	}
	defer e.Stop()
	declared := e.Configuration.Callers[0]
	collector := e.Config.Collector
	client := caller.New(caller.Config{
		Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: e.Entries, Rate: rate, Timeout: 20 * time.Second,
		Seed: c.Seed, Collector: collector, Killed: e.Killed,
	})
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Loop(loadCtx, func(ctx context.Context, i int) { client.Complete(ctx, "notices", fmt.Sprintf("question %d", i), 60) })
	}()
	time.Sleep(c.Settle)
	answered, tokens := answeredAndTokens(e, collector)
	u, err = meanUsage(ctx, e, c.Duration)
	answeredAfter, tokensAfter := answeredAndTokens(e, collector)
	stop()
	<-done
	seconds := c.Duration.Seconds()
	return u, float64(tokensAfter-tokens) / seconds, float64(answeredAfter-answered) / seconds, err
}

func answeredAndTokens(e *environment.Environment, c *report.Collector) (answered, tokens int) {
	c.Update(func(r *report.Report) { answered = r.Answered["Interactive"] })
	for _, engine := range e.Engines {
		tokens += engine.Counts().Tokens
	}
	return answered, tokens
}

var engineCounts = []int{12, 100, 400, 1600}

const placementsPerPoint = 2000

// engineSlopes measures placement time and state, and configuration size and
// decoding time, by the number of engines.
func engineSlopes() []Slope {
	var x, pickTime, documentBytes, decodeTime, state []float64
	now := time.Now()
	for _, n := range engineCounts {
		c := engineConfiguration(n)
		document, err := configuration.Encode(c)
		if err != nil {
			panic(err)
		}
		before := heapBytes()
		p := placement.New(placement.Config{Zone: "Bole", MaxConcurrency: 32})
		p.Configure(placement.Config{Zone: "Bole", MaxConcurrency: 32}, c.Pools[0].Servers)
		started := time.Now()
		for i := range placementsPerPoint {
			w := placement.Requirements{Class: rollout.ClassRollout, Prefix: uint64(i)}
			if s, ok := p.Pick(now, w); ok {
				p.Sent(now, s.Name, w)
				p.Ended(now, s.Name, placement.Outcome{SecondsPerUnit: 0.01})
			}
		}
		x = append(x, float64(n))
		pickTime = append(pickTime, time.Since(started).Seconds()/placementsPerPoint*1e6)
		state = append(state, float64(heapBytes()-before)/(1<<20))
		runtime.KeepAlive(p)
		started = time.Now()
		if _, err := configuration.Decode(document); err != nil {
			panic(err)
		}
		decodeTime = append(decodeTime, time.Since(started).Seconds()*1000)
		documentBytes = append(documentBytes, float64(len(document))/1000)
	}
	return []Slope{
		fitLine("one placement (pick, send, end)", "us", "engine", x, pickTime, designEngines),
		fitLine("placement state after 2,000 prompts", "MB", "engine", x, state, designEngines),
		fitLine("configuration document", "KB", "engine", x, documentBytes, designEngines),
		fitLine("reading and checking a configuration", "ms", "engine", x, decodeTime, designEngines),
	}
}

func engineConfiguration(engines int) rollout.Configuration {
	c := rollout.Configuration{Schema: rollout.SchemaVersion, Name: "slopes", Zones: []rollout.Zone{"Bole"}}
	p := rollout.Pool{Name: "assistant", Models: []rollout.ModelName{"m"}, MaxConcurrency: 32}
	for i := range engines {
		p.Servers = append(p.Servers, rollout.Server{
			Name: rollout.ServerName(fmt.Sprintf("sampler-%d", i)), Zone: "Bole", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		})
	}
	c.Pools = []rollout.Pool{p}
	return c
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// stepSizes are in samples.
var stepSizes = []int{64, 256, 1024, 2048}

const sampleBytes = 4000

func stepSlopes() []Slope {
	var x, stepTime, state []float64
	for _, n := range stepSizes {
		before := heapBytes()
		s, elapsed := runStep(n)
		x = append(x, float64(n))
		stepTime = append(stepTime, elapsed.Seconds()*1000)
		state = append(state, float64(heapBytes()-before)/(1<<20))
		runtime.KeepAlive(s)
	}
	return []Slope{
		fitLine("processor, all decisions of a step", "ms", "sample in the step", x, stepTime, designSamplesPerStep),
		fitLine("step state with every sample ready", "MB", "sample in the step", x, state, designSamplesPerStep),
	}
}

// runStep completes all samples of a step, in eight pieces each.
func runStep(size int) (*sample.Step, time.Duration) {
	key := rollout.StepKey{Trainer: "t", Step: 1, Attempt: 1}
	plan := rollout.StepPlan{StepKey: key}
	for range size / 8 {
		plan.Groups = append(plan.Groups, rollout.Group{Prompt: "p", Samples: 8, MaxTokens: 1 << 16})
	}
	s := sample.New(plan, sample.DefaultPolicy(rollout.Trainer{MaxVersionsBehind: 1}))
	text := strings.Repeat("x", sampleBytes/8)
	started, now := time.Now(), time.Now()
	pull := rollout.Pull{StepKey: key, Number: 1, Held: rollout.NewHeld(size), Current: 1, Max: 1, Wait: time.Minute}
	actions := s.Apply(now, sample.Pulled{Pull: pull})
	for _, a := range actions {
		submit, ok := a.(sample.Submit)
		if !ok {
			continue
		}
		s.Apply(now, sample.Started{Attempt: submit.Attempt, Server: "one"})
		for range 8 {
			s.Apply(now, sample.Progressed{Attempt: submit.Attempt, Piece: rollout.Piece{Text: text, Tokens: 100, Version: 1}})
		}
		s.Apply(now, sample.Finished{Attempt: submit.Attempt})
	}
	return s, time.Since(started)
}

// Table returns the slopes as a Markdown table.
func Table(slopes []Slope) string {
	var b strings.Builder
	b.WriteString("| What | Points (x: y) | Base | Slope | Largest residual | At the size to design for |\n|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		var points []string
		for i := range s.X {
			points = append(points, fmt.Sprintf("%.4g: %.4g", s.X[i], s.Y[i]))
		}
		fmt.Fprintf(&b, "| %s, %s | %s | %.4g | %.4g per %s | %.2g | %.4g (x = %.4g) |\n",
			s.What, s.Unit, strings.Join(points, "; "), s.Intercept, s.Gradient, s.Per, s.Residual, s.Design, s.DesignX)
	}
	return b.String()
}

// Markers that enclose the table in a page.
const (
	beginMarker = "<!-- slopes: begin -->\n"
	endMarker   = "<!-- slopes: end -->\n"
)

// UpdatePage replaces the text between the markers of the page at path by the
// table. It returns an error if a marker is missing.
func UpdatePage(path, table string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, rest, ok1 := strings.Cut(string(data), beginMarker)
	_, tail, ok2 := strings.Cut(rest, endMarker)
	if !ok1 || !ok2 {
		return fmt.Errorf("%s: markers %q and %q are missing or out of order", path, strings.TrimSpace(beginMarker), strings.TrimSpace(endMarker))
	}
	return os.WriteFile(path, []byte(head+beginMarker+table+endMarker+tail), 0o644)
}
