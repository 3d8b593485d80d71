// Package report collects the results of a run: broken promises, as observed by
// the stand-ins, and measurements such as latency, staleness and idle time.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Promises counts violations of the promises that lagoonlink makes to trainers,
// callers, servers and operators. All counts should be 0.
type Promises struct {
	// Lost counts samples that a step did not deliver.
	Lost int
	// Duplicated counts samples that were delivered more than once.
	Duplicated int
	// Stale counts samples that were more versions behind at receipt than their
	// trainer allows.
	Stale int
	// Mislabelled counts samples labelled with other weight versions than those
	// that generated them.
	Mislabelled int
	// IncompleteAnswers counts samples and answers that are incomplete or don't
	// match the request.
	IncompleteAnswers int
	// RanTwice counts service calls that were executed more than once.
	RanTwice int
	// RanAfterNotRun counts service calls that were executed although their caller
	// was told that they had not run.
	RanAfterNotRun int
	// CutOffInProgress counts requests whose connection was lost although no entry
	// VM had been killed.
	CutOffInProgress int
	// NewWorkAfterLeaving counts requests that a server received too long after it
	// was marked as leaving.
	NewWorkAfterLeaving int
	// ConfigReverts counts entry VMs that went back to an older configuration, and
	// versions that several publications were told they had published.
	ConfigReverts int
}

// Violations returns the total number of violations.
func (p Promises) Violations() int {
	return p.Lost + p.Duplicated + p.Stale + p.Mislabelled + p.IncompleteAnswers + p.RanTwice +
		p.RanAfterNotRun + p.CutOffInProgress + p.NewWorkAfterLeaving + p.ConfigReverts
}

// Distribution summarizes a set of measured values.
type Distribution struct {
	Count         int
	Mean          float64
	P50, P90, P99 float64
	Max           float64
	// Values are the measured values in ascending order, for plots.
	Values []float64 `json:",omitempty"`
}

// Report is the result of one run of a scenario.
type Report struct {
	Scenario string
	Seed     uint64
	Variant  string
	Seconds  float64
	Samples  int
	Promises
	// TrainerIdleShare is the share of time that each trainer was idle, from its
	// first step on.
	TrainerIdleShare map[string]float64
	// IdleLowerBound is, for each trainer, the idle share that a scheduler with
	// knowledge of every sample length could reach.
	IdleLowerBound map[string]float64
	// Staleness is how many versions behind samples were at receipt, by trainer.
	Staleness map[string]Distribution
	// Latency is in seconds, by "tenant/class".
	Latency map[string]Distribution
	// Refused counts explicit refusals by "class/reason/verdict".
	Refused map[string]int
	// Answered counts complete answers by class.
	Answered map[string]int
	// TokensGenerated counts tokens that engines generated for samples, and
	// TokensDelivered those that reached a trainer. WastedShare is the share of
	// generated tokens that reached none.
	TokensGenerated int
	TokensDelivered int
	WastedShare     float64
	EngineCrashes   int
	LogAppends      map[string]int
	// Notes are the events of the run in order, each with its time.
	Notes []string
}

// Collector builds a report. It is safe for concurrent use.
type Collector struct {
	mu        sync.Mutex
	report    Report
	staleness map[string][]float64
	latency   map[string][]float64
	started   time.Time
}

// NewCollector returns an empty collector and starts the clock of the run.
func NewCollector(scenario string, seed uint64) *Collector {
	return &Collector{
		started: time.Now(),
		report: Report{
			Scenario: scenario, Seed: seed, TrainerIdleShare: map[string]float64{}, IdleLowerBound: map[string]float64{}, Refused: map[string]int{}, Answered: map[string]int{},
		},
		staleness: map[string][]float64{},
		latency:   map[string][]float64{},
	}
}

// Update calls change with the report, under the lock of the collector.
func (c *Collector) Update(change func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

// Note records a formatted event with the time since the start of the run.
func (c *Collector) Note(format string, arguments ...any) {
	text := fmt.Sprintf("%6.2fs %s", time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...))
	c.Update(func(r *Report) { r.Notes = append(r.Notes, text) })
}

// RecordStaleness records how many versions behind a sample of the trainer was at
// receipt.
func (c *Collector) RecordStaleness(trainer string, versions float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleness[trainer] = append(c.staleness[trainer], versions)
}

// RecordAnswer records a complete answer that arrived after the elapsed time.
func (c *Collector) RecordAnswer(tenant, class string, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Answered[class]++
	key := tenant + "/" + class
	c.latency[key] = append(c.latency[key], elapsed.Seconds())
}

// RecordRefusal records an explicit refusal.
func (c *Collector) RecordRefusal(class, reason, verdict string) {
	c.Update(func(r *Report) { r.Refused[class+"/"+reason+"/"+verdict]++ })
}

// Finish computes the distributions and shares and returns the report.
func (c *Collector) Finish() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = time.Since(c.started).Seconds()
	r.Staleness = distributions(c.staleness)
	r.Latency = distributions(c.latency)
	if r.TokensGenerated > 0 {
		r.WastedShare = max(0, 1-float64(r.TokensDelivered)/float64(r.TokensGenerated))
	}
	return r
}

func distributions(values map[string][]float64) map[string]Distribution {
	out := map[string]Distribution{}
	for k, v := range values {
		out[k] = Summarize(v)
	}
	return out
}

// Summarize returns the distribution of values.
func Summarize(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	sorted := slices.Sorted(slices.Values(values))
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, sorted, nil) }
	return Distribution{
		Count: len(sorted), Mean: stat.Mean(sorted, nil), P50: quantile(0.5), P90: quantile(0.9), P99: quantile(0.99), Max: sorted[len(sorted)-1], Values: sorted,
	}
}

// WriteFile writes the report to a file as JSON.
func (r Report) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadFile reads a report that WriteFile wrote.
func ReadFile(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Summary writes the report as human-readable text.
func (r Report) Summary(w io.Writer) error {
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario %s\tseed %d\t%.1f s\n", r.Scenario, r.Seed, r.Seconds)
	fmt.Fprintf(t, "samples delivered\t%d\n", r.Samples)
	for _, row := range r.promiseRows() {
		fmt.Fprintf(t, "%s\t%d\n", row.name, row.count)
	}
	for _, k := range sortedKeys(r.TrainerIdleShare) {
		fmt.Fprintf(t, "idle share of %s\t%.3f\tlower bound %.3f\n", k, r.TrainerIdleShare[k], r.IdleLowerBound[k])
	}
	for _, k := range sortedKeys(r.Staleness) {
		d := r.Staleness[k]
		fmt.Fprintf(t, "versions behind, %s\tmean %.2f\tp99 %.0f\tmax %.0f\n", k, d.Mean, d.P99, d.Max)
	}
	for _, k := range sortedKeys(r.Latency) {
		d := r.Latency[k]
		fmt.Fprintf(t, "latency of %s\t%d answers\tp50 %.1f ms\tp99 %.1f ms\n", k, d.Count, d.P50*1000, d.P99*1000)
	}
	for _, k := range sortedKeys(r.Refused) {
		fmt.Fprintf(t, "refused %s\t%d\n", k, r.Refused[k])
	}
	fmt.Fprintf(t, "sample tokens generated\t%d\twasted %.1f %%\n", r.TokensGenerated, r.WastedShare*100)
	fmt.Fprintf(t, "engine crashes\t%d\n", r.EngineCrashes)
	fmt.Fprintf(t, "promises broken\t%d\n", r.Violations())
	return t.Flush()
}

type promiseRow struct {
	name  string
	count int
}

func (r Report) promiseRows() []promiseRow {
	p := r.Promises
	return []promiseRow{
		{"Lost", p.Lost},
		{"Duplicated", p.Duplicated},
		{"Stale", p.Stale},
		{"Mislabelled", p.Mislabelled},
		{"IncompleteAnswers", p.IncompleteAnswers},
		{"RanTwice", p.RanTwice},
		{"RanAfterNotRun", p.RanAfterNotRun},
		{"CutOffInProgress", p.CutOffInProgress},
		{"NewWorkAfterLeaving", p.NewWorkAfterLeaving},
		{"ConfigReverts", p.ConfigReverts},
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
