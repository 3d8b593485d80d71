// Package slopes measures how an entry VM's costs grow with the size of what it
// serves, fits a line to each, and works out the size to design for.
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

// The size to design for.
const (
	designNodes          = 410
	designSamplers       = 1600
	designSamplesPerStep = 1024
	designRequestsNode   = 4800.0 / designNodes
	designTokensNode     = 1.1e6 / designNodes
)

// Config configures the measurement.
type Config struct {
	Programs string
	Seed     uint64
	// Settle and Each are the waits before and during each measurement.
	Settle, Each time.Duration
}

// Slope is a line fitted to measured points.
type Slope struct {
	What, Unit, Per string
	X, Y            []float64
	Intercept       float64
	Gradient        float64
	// Residual is the largest deviation of a point from the line.
	Residual float64
	// Design is the value at the size to design for.
	DesignX, Design float64
}

func fit(what, unit, per string, x, y []float64, designX float64) Slope {
	s := Slope{What: what, Unit: unit, Per: per, X: x, Y: y, DesignX: designX}
	s.Intercept, s.Gradient = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		s.Residual = max(s.Residual, math.Abs(y[i]-s.at(x[i])))
	}
	s.Design = s.at(designX)
	return s
}

func (s Slope) at(x float64) float64 { return s.Intercept + s.Gradient*x }

// Measure measures every slope.
func Measure(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	nodes, err := nodeSlopes(ctx, c, progress)
	if err != nil {
		return nil, err
	}
	requests, err := requestSlopes(ctx, c, progress)
	if err != nil {
		return nil, err
	}
	all := append(nodes, requests...)
	all = append(all, samplerSlopes()...)
	return append(all, stepSlopes()...), nil
}

// usage is what an entry VM uses in a second.
type usage struct {
	processor, memory, peerBytes, messages, controlBytes float64
}

// joinSettle is how much longer to wait for each VM that joins.
const joinSettle = 400 * time.Millisecond

// nodePoints are the numbers of entry VMs that are started.
var nodePoints = []int{5, 15, 40, 80}

func nodeSlopes(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	var x []float64
	columns := make([][]float64, 6)
	for _, n := range nodePoints {
		u, inForce, err := idleNodes(ctx, c, n)
		if err != nil {
			return nil, fmt.Errorf("%d entry VMs: %w", n, err)
		}
		fmt.Fprintf(progress, "%d idle entry VMs: %+v, change in force after %.3f s\n", n, u, inForce)
		x = append(x, float64(n))
		for i, v := range []float64{u.processor * 100, u.memory / (1 << 20), u.peerBytes / 1000, u.messages, u.controlBytes / 1000, inForce} {
			columns[i] = append(columns[i], v)
		}
	}
	return []Slope{
		fit("processor, idle entry VM", "% of a core", "entry VM in the deployment", x, columns[0], designNodes),
		fit("resident memory, idle entry VM", "MB", "entry VM in the deployment", x, columns[1], designNodes),
		fit("peer port, sent and received", "KB/s", "entry VM in the deployment", x, columns[2], designNodes),
		fit("peer messages sent", "messages/s", "entry VM in the deployment", x, columns[3], designNodes),
		fit("platform and load reports, sent and received", "KB/s", "entry VM in the deployment", x, columns[4], designNodes),
		fit("a configuration change in force everywhere", "s", "entry VM in the deployment", x, columns[5], designNodes),
	}, nil
}

func start(ctx context.Context, c Config, vms int) (*environment.Environment, error) {
	return environment.Start(ctx, environment.Config{
		Programs: c.Programs, Deployment: "tsehay", VMs: vms, Seed: c.Seed, Engine: environment.DefaultEngine(),
		Work: time.Millisecond, ListLag: time.Second, Collector: report.NewCollector("slopes", c.Seed),
	})
}

// idleNodes returns the mean use of idle entry VMs, and how long a change takes
// to be in force everywhere.
func idleNodes(ctx context.Context, c Config, vms int) (usage, float64, error) {
	e, err := start(ctx, c, vms)
	if err != nil {
		return usage{}, 0, err
	}
	defer e.Stop()
	// News of the VMs that join dies down in a time that grows with their number.
	time.Sleep(c.Settle + time.Duration(vms)*joinSettle)
	u, err := meanUse(ctx, e, c.Each)
	if err != nil {
		return usage{}, 0, err
	}
	changed := strings.Replace(string(e.Document), "MaxConcurrency: 32", "MaxConcurrency: 24", 1)
	if _, err := e.Publish([]byte(changed)); err != nil {
		return usage{}, 0, err
	}
	begun := time.Now()
	err = e.AwaitVersion(ctx, 2)
	return u, time.Since(begun).Seconds(), err
}

// total is what an entry VM has used since its start.
func total(ctx context.Context, e *environment.Environment, v *environment.VM) (usage, error) {
	s, err := e.Status(ctx, v)
	if err != nil {
		return usage{}, err
	}
	processor, err := e.Processor(v)
	if err != nil {
		return usage{}, err
	}
	memory, err := e.Memory(v)
	return usage{
		processor: processor.Seconds(), memory: float64(memory),
		peerBytes: float64(s.Traffic.SentBytes + s.Traffic.ReceivedBytes), messages: float64(s.Traffic.SentMessages),
		controlBytes: float64(s.Traffic.ControlSentBytes + s.Traffic.ControlReceivedBytes),
	}, err
}

func meanUse(ctx context.Context, e *environment.Environment, each time.Duration) (usage, error) {
	var mean usage
	begun := time.Now()
	before := make([]usage, len(e.VMs))
	for i, v := range e.VMs {
		var err error
		if before[i], err = total(ctx, e, v); err != nil {
			return mean, err
		}
	}
	time.Sleep(each)
	seconds := time.Since(begun).Seconds()
	n := float64(len(e.VMs))
	for i, v := range e.VMs {
		after, err := total(ctx, e, v)
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

// requestPoints are streamed completions a second through one entry VM.
var requestPoints = []float64{10, 20, 40, 80}

// requestSlopes drives one entry VM with streamed answers.
func requestSlopes(ctx context.Context, c Config, progress io.Writer) ([]Slope, error) {
	var requests, tokens, used, memory []float64
	for _, rate := range requestPoints {
		u, made, perSecond, err := served(ctx, c, rate)
		if err != nil {
			return nil, fmt.Errorf("%.0f requests/s: %w", rate, err)
		}
		fmt.Fprintf(progress, "%.0f requests/s, %.0f tokens/s: %+v\n", perSecond, made, u)
		requests, tokens = append(requests, perSecond), append(tokens, made)
		used, memory = append(used, u.processor*100), append(memory, u.memory/(1<<20))
	}
	return []Slope{
		fit("processor, relaying answers of about 60 tokens", "% of a core", "request/s", requests, used, designRequestsNode),
		fit("processor, by the tokens relayed", "% of a core", "token/s", tokens, used, designTokensNode),
		fit("resident memory, relaying", "MB", "request/s", requests, memory, designRequestsNode),
	}, nil
}

func served(ctx context.Context, c Config, rate float64) (u usage, tokens, perSecond float64, err error) {
	e, err := start(ctx, c, 1)
	if err != nil {
		return u, 0, 0, err
	}
	defer e.Stop()
	declared := e.Configuration.Callers[0]
	collector := e.Config.Collector
	one := caller.New(caller.Config{
		Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: e.Entries, Rate: rate, Timeout: 20 * time.Second,
		Seed: c.Seed, Collector: collector, Killed: e.Killed,
	})
	load, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		one.Loop(load, func(ctx context.Context, i int) { one.Complete(ctx, "notices", fmt.Sprintf("question %d", i), 60) })
	}()
	time.Sleep(c.Settle)
	answered, made := counts(e, collector)
	u, err = meanUse(ctx, e, c.Each)
	answeredAfter, madeAfter := counts(e, collector)
	stop()
	<-done
	seconds := c.Each.Seconds()
	return u, float64(madeAfter-made) / seconds, float64(answeredAfter-answered) / seconds, err
}

func counts(e *environment.Environment, c *report.Collector) (answered, tokens int) {
	c.Change(func(r *report.Report) { answered = r.Answered["Interactive"] })
	for _, one := range e.Engines {
		tokens += one.Counts().Tokens
	}
	return answered, tokens
}

// samplerPoints are the numbers of declared engines.
var samplerPoints = []int{12, 100, 400, 1600}

const picks = 2000

// samplerSlopes measures decisions and state by the number of engines.
func samplerSlopes() []Slope {
	var x, pickTime, documentBytes, decodeTime, state []float64
	now := time.Now()
	for _, n := range samplerPoints {
		c := declared(n)
		document, err := configuration.Encode(c)
		if err != nil {
			panic(err)
		}
		before := heap()
		p := placement.New(placement.Config{Zone: "Bole", MaxConcurrency: 32})
		p.Declare(placement.Config{Zone: "Bole", MaxConcurrency: 32}, c.Pools[0].Servers)
		begun := time.Now()
		for i := range picks {
			w := placement.Want{Class: rollout.ClassRollout, Prefix: uint64(i)}
			if s, ok := p.Pick(now, w); ok {
				p.Sent(now, s.Name, w)
				p.Ended(now, s.Name, placement.Outcome{PerUnit: 0.01})
			}
		}
		x = append(x, float64(n))
		pickTime = append(pickTime, time.Since(begun).Seconds()/picks*1e6)
		state = append(state, float64(heap()-before)/(1<<20))
		runtime.KeepAlive(p)
		begun = time.Now()
		if _, err := configuration.Decode(document); err != nil {
			panic(err)
		}
		decodeTime = append(decodeTime, time.Since(begun).Seconds()*1000)
		documentBytes = append(documentBytes, float64(len(document))/1000)
	}
	return []Slope{
		fit("one placement (pick, send, end)", "us", "engine", x, pickTime, designSamplers),
		fit("placement state after 2,000 prompts", "MB", "engine", x, state, designSamplers),
		fit("configuration document", "KB", "engine", x, documentBytes, designSamplers),
		fit("reading and checking a configuration", "ms", "engine", x, decodeTime, designSamplers),
	}
}

func declared(engines int) rollout.Configuration {
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

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// stepPoints are samples in a step.
var stepPoints = []int{64, 256, 1024, 2048}

const sampleBytes = 4000

// stepSlopes drives a whole step through its decisions.
func stepSlopes() []Slope {
	var x, whole, state []float64
	for _, n := range stepPoints {
		before := heap()
		s, took := drive(n)
		x = append(x, float64(n))
		whole = append(whole, took.Seconds()*1000)
		state = append(state, float64(heap()-before)/(1<<20))
		runtime.KeepAlive(s)
	}
	return []Slope{
		fit("processor, all decisions of a step", "ms", "sample in the step", x, whole, designSamplesPerStep),
		fit("step state with every sample ready", "MB", "sample in the step", x, state, designSamplesPerStep),
	}
}

// drive makes all samples of a step, in eight pieces each.
func drive(size int) (*sample.Step, time.Duration) {
	key := rollout.StepKey{Trainer: "t", Step: 1, Attempt: 1}
	plan := rollout.StepPlan{StepKey: key}
	for range size / 8 {
		plan.Groups = append(plan.Groups, rollout.Group{Prompt: "p", Samples: 8, MaxTokens: 1 << 16})
	}
	s := sample.New(plan, sample.DefaultPolicy(rollout.Trainer{MaxVersionsBehind: 1}))
	text := strings.Repeat("x", sampleBytes/8)
	begun, now := time.Now(), time.Now()
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
	return s, time.Since(begun)
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

// Marks between which a page holds the table.
const (
	markBegin = "<!-- slopes: begin -->\n"
	markEnd   = "<!-- slopes: end -->\n"
)

// Rewrite puts a table between the marks of a page.
func Rewrite(path, table string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, rest, ok1 := strings.Cut(string(data), markBegin)
	_, tail, ok2 := strings.Cut(rest, markEnd)
	if !ok1 || !ok2 {
		return fmt.Errorf("%s: expected the marks %q and %q", path, strings.TrimSpace(markBegin), strings.TrimSpace(markEnd))
	}
	return os.WriteFile(path, []byte(head+markBegin+table+markEnd+tail), 0o644)
}
