// Package hop measures what an entry VM adds to a request: the same requests go
// directly to engine stand-ins and through one entry VM, in one run.
package hop

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/lagoonbench/internal/environment"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/rollout/engine"
)

// Config configures a measurement.
type Config struct {
	Programs string
	Seed     uint64
	// Each is the length of each measurement.
	Each time.Duration
}

// Numbers of the requests.
const (
	tokens    = 8
	warmUp    = time.Second
	saturated = 64
	maxIdle   = 512
)

// result is one measurement.
type result struct {
	report.Distribution
	PerSecond float64
	// PerCore is requests for each second of the entry VM's processor time.
	PerCore float64
}

// rig is the running environment with a client.
type rig struct {
	config Config
	env    *environment.Environment
	client *http.Client
	body   []byte
	turn   atomic.Uint64
}

func start(ctx context.Context, c Config, processors int) (*rig, error) {
	shape := environment.DefaultEngine()
	shape.Instant, shape.MeanTokens, shape.Tail, shape.MaxBatch = true, tokens, 0, 4096
	env, err := environment.Start(ctx, environment.Config{
		Programs: c.Programs, Deployment: "tsehay", VMs: 1, Seed: c.Seed, Engine: shape, Processors: processors,
		Collector: report.NewCollector("hop", c.Seed),
	})
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(engine.CompletionRequest{Model: "notices", Prompt: "question", MaxTokens: tokens, Stream: true})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}
	return &rig{config: c, env: env, client: client, body: body}, err
}

// direct returns the address of the next engine.
func (r *rig) direct() string {
	servers := r.env.Configuration.Pools[0].Servers
	return servers[r.turn.Add(1)%uint64(len(servers))].Address
}

func (r *rig) through() string { return r.env.VMs[0].Callers }

func (r *rig) one(ctx context.Context, address string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+declare.LoopbackToken("pages"))
	answer, err := r.client.Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK || !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("status %d: %s", answer.StatusCode, text)
	}
	return nil
}

// gather collects latencies from many goroutines.
type gather struct {
	mu     sync.Mutex
	values []float64
	errs   []error
}

func (g *gather) add(took time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.errs = append(g.errs, err)
		return
	}
	g.values = append(g.values, took.Seconds())
}

// closed keeps a number of requests open for a time.
func (r *rig) closed(ctx context.Context, concurrency int, length time.Duration, to func() string) (result, error) {
	var g gather
	var all sync.WaitGroup
	end := time.Now().Add(length)
	before, err := r.env.Processor(r.env.VMs[0])
	if err != nil {
		return result{}, err
	}
	for range concurrency {
		all.Go(func() {
			for time.Now().Before(end) {
				begun := time.Now()
				err := r.one(ctx, to())
				g.add(time.Since(begun), err)
			}
		})
	}
	all.Wait()
	return r.result(&g, before, length)
}

// open sends requests at a rate for a time, whether or not answers come.
func (r *rig) open(ctx context.Context, rate float64, length time.Duration, to func() string) (result, error) {
	var g gather
	var all sync.WaitGroup
	before, err := r.env.Processor(r.env.VMs[0])
	if err != nil {
		return result{}, err
	}
	begun := time.Now()
	for i := 0; time.Since(begun) < length; i++ {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		all.Go(func() {
			sent := time.Now()
			err := r.one(ctx, to())
			g.add(time.Since(sent), err)
		})
	}
	all.Wait()
	return r.result(&g, before, length)
}

func (r *rig) result(g *gather, before time.Duration, length time.Duration) (result, error) {
	if len(g.errs) > 0 {
		return result{}, fmt.Errorf("%d requests failed, the first: %w", len(g.errs), g.errs[0])
	}
	after, err := r.env.Processor(r.env.VMs[0])
	out := result{Distribution: report.Distribute(g.values)}
	out.PerSecond = float64(out.Count) / length.Seconds()
	if used := (after - before).Seconds(); used > 0 {
		out.PerCore = float64(out.Count) / used
	}
	return out, err
}

// Measure runs everything and prints a table.
func Measure(ctx context.Context, out io.Writer, c Config) error {
	if err := concurrencies(ctx, out, c); err != nil {
		return err
	}
	return oneCore(ctx, out, c)
}

func concurrencies(ctx context.Context, out io.Writer, c Config) error {
	r, err := start(ctx, c, 0)
	if err != nil {
		return err
	}
	defer r.env.Stop()
	fmt.Fprintf(out, "%-12s %-8s %10s %10s %10s %10s %12s\n", "concurrency", "way", "p50 ms", "p99 ms", "added p50", "added p99", "per core-s")
	for _, n := range []int{1, 16, 256} {
		if _, err := r.closed(ctx, n, warmUp, r.through); err != nil {
			return err
		}
		direct, err := r.closed(ctx, n, c.Each, r.direct)
		if err != nil {
			return err
		}
		through, err := r.closed(ctx, n, c.Each, r.through)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-12d %-8s %10.3f %10.3f\n", n, "direct", direct.P50*1000, direct.P99*1000)
		fmt.Fprintf(out, "%-12d %-8s %10.3f %10.3f %10.3f %10.3f %12.0f\n", n, "through", through.P50*1000, through.P99*1000,
			(through.P50-direct.P50)*1000, (through.P99-direct.P99)*1000, through.PerCore)
	}
	return nil
}

// oneCore gives the entry VM one processor: what it can do, and what it adds at
// half of that.
func oneCore(ctx context.Context, out io.Writer, c Config) error {
	r, err := start(ctx, c, 1)
	if err != nil {
		return err
	}
	defer r.env.Stop()
	if _, err := r.closed(ctx, saturated, warmUp, r.through); err != nil {
		return err
	}
	full, err := r.closed(ctx, saturated, c.Each, r.through)
	if err != nil {
		return err
	}
	half := full.PerSecond / 2
	direct, err := r.open(ctx, half, c.Each, r.direct)
	if err != nil {
		return err
	}
	through, err := r.open(ctx, half, c.Each, r.through)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "one processor: %.0f requests/s; at %.0f/s p50 %.3f ms (added %.3f), p99 %.3f ms (added %.3f)\n",
		full.PerSecond, half, through.P50*1000, (through.P50-direct.P50)*1000, through.P99*1000, (through.P99-direct.P99)*1000)
	return nil
}
