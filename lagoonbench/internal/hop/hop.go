// Package hop measures the latency that an entry VM adds to a request, and the
// CPU time that it takes. In one run, it sends the same requests directly to
// engine stand-ins and through one entry VM.
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
	// Duration is the duration of a single measurement.
	Duration time.Duration
}

const (
	answerTokens          = 8
	warmUpTime            = time.Second
	saturatingConcurrency = 64
	maxIdleConnections    = 512
)

type result struct {
	report.Distribution
	PerSecond float64
	// PerCore is the number of requests per second of CPU time of the entry VM.
	PerCore float64
}

type bench struct {
	config       Config
	env          *environment.Environment
	client       *http.Client
	body         []byte
	requestCount atomic.Uint64
}

func startBench(ctx context.Context, c Config, processors int) (*bench, error) {
	engineConfig := environment.DefaultEngine()
	engineConfig.Instant, engineConfig.MedianTokens, engineConfig.LengthSigma, engineConfig.MaxBatch = true, answerTokens, 0, 4096
	env, err := environment.Start(ctx, environment.Config{
		Programs: c.Programs, Deployment: "tsehay", VMs: 1, Seed: c.Seed, Engine: engineConfig, MaxProcs: processors,
		Collector: report.NewCollector("hop", c.Seed),
	})
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(engine.CompletionRequest{Model: "notices", Prompt: "question", MaxTokens: answerTokens, Stream: true})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	return &bench{config: c, env: env, client: client, body: body}, err
}

func (b *bench) nextEngineAddress() string {
	servers := b.env.Configuration.Pools[0].Servers
	return servers[b.requestCount.Add(1)%uint64(len(servers))].Address
}

func (b *bench) entryAddress() string { return b.env.VMs[0].Callers }

func (b *bench) send(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(b.body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+declare.LoopbackToken("pages"))
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// latencyRecorder is safe for concurrent use.
type latencyRecorder struct {
	mu     sync.Mutex
	values []float64
	errs   []error
}

func (l *latencyRecorder) add(latency time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errs = append(l.errs, err)
		return
	}
	l.values = append(l.values, latency.Seconds())
}

// runClosedLoop keeps concurrency requests in flight for the given duration.
func (b *bench) runClosedLoop(ctx context.Context, concurrency int, duration time.Duration, address func() string) (result, error) {
	var latencies latencyRecorder
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	before, err := b.env.CPUTime(b.env.VMs[0])
	if err != nil {
		return result{}, err
	}
	for range concurrency {
		wg.Go(func() {
			for time.Now().Before(end) {
				started := time.Now()
				err := b.send(ctx, address())
				latencies.add(time.Since(started), err)
			}
		})
	}
	wg.Wait()
	return b.result(&latencies, before, duration)
}

// runOpenLoop sends requests at a fixed rate for the given duration, without
// waiting for responses.
func (b *bench) runOpenLoop(ctx context.Context, rate float64, duration time.Duration, address func() string) (result, error) {
	var latencies latencyRecorder
	var wg sync.WaitGroup
	before, err := b.env.CPUTime(b.env.VMs[0])
	if err != nil {
		return result{}, err
	}
	started := time.Now()
	for i := 0; time.Since(started) < duration; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wg.Go(func() {
			sent := time.Now()
			err := b.send(ctx, address())
			latencies.add(time.Since(sent), err)
		})
	}
	wg.Wait()
	return b.result(&latencies, before, duration)
}

func (b *bench) result(latencies *latencyRecorder, before time.Duration, duration time.Duration) (result, error) {
	if len(latencies.errs) > 0 {
		return result{}, fmt.Errorf("%d requests failed; first error: %w", len(latencies.errs), latencies.errs[0])
	}
	after, err := b.env.CPUTime(b.env.VMs[0])
	res := result{Distribution: report.Summarize(latencies.values)}
	res.PerSecond = float64(res.Count) / duration.Seconds()
	if used := (after - before).Seconds(); used > 0 {
		res.PerCore = float64(res.Count) / used
	}
	return res, err
}

// Measure runs all measurements and prints the results to out.
func Measure(ctx context.Context, out io.Writer, c Config) error {
	if err := measureConcurrencies(ctx, out, c); err != nil {
		return err
	}
	return measureOneCore(ctx, out, c)
}

func measureConcurrencies(ctx context.Context, out io.Writer, c Config) error {
	b, err := startBench(ctx, c, 0)
	if err != nil {
		return err
	}
	defer b.env.Stop()
	fmt.Fprintf(out, "%-12s %-8s %10s %10s %10s %10s %12s\n", "concurrency", "way", "p50 ms", "p99 ms", "added p50", "added p99", "per core-s")
	for _, n := range []int{1, 16, 256} {
		if _, err := b.runClosedLoop(ctx, n, warmUpTime, b.entryAddress); err != nil {
			return err
		}
		direct, err := b.runClosedLoop(ctx, n, c.Duration, b.nextEngineAddress)
		if err != nil {
			return err
		}
		through, err := b.runClosedLoop(ctx, n, c.Duration, b.entryAddress)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-12d %-8s %10.3f %10.3f\n", n, "direct", direct.P50*1000, direct.P99*1000)
		fmt.Fprintf(out, "%-12d %-8s %10.3f %10.3f %10.3f %10.3f %12.0f\n", n, "through", through.P50*1000, through.P99*1000,
			(through.P50-direct.P50)*1000, (through.P99-direct.P99)*1000, through.PerCore)
	}
	return nil
}

// measureOneCore measures the throughput of an entry VM limited to one processor,
// and the latency it adds at half of that throughput.
func measureOneCore(ctx context.Context, out io.Writer, c Config) error {
	b, err := startBench(ctx, c, 1)
	if err != nil {
		return err
	}
	defer b.env.Stop()
	if _, err := b.runClosedLoop(ctx, saturatingConcurrency, warmUpTime, b.entryAddress); err != nil {
		return err
	}
	full, err := b.runClosedLoop(ctx, saturatingConcurrency, c.Duration, b.entryAddress)
	if err != nil {
		return err
	}
	half := full.PerSecond / 2
	direct, err := b.runOpenLoop(ctx, half, c.Duration, b.nextEngineAddress)
	if err != nil {
		return err
	}
	through, err := b.runOpenLoop(ctx, half, c.Duration, b.entryAddress)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "one processor: %.0f requests/s; at %.0f/s p50 %.3f ms (added %.3f), p99 %.3f ms (added %.3f)\n",
		full.PerSecond, half, through.P50*1000, (through.P50-direct.P50)*1000, through.P99*1000, (through.P99-direct.P99)*1000)
	return nil
}
