// Package metrics makes the scope that counters and histograms are reported to,
// and the handler that a Prometheus-compatible scraper reads.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often what was counted reaches the handler.
const reportEvery = 10 * time.Second

// New returns a scope whose metrics carry the tags, the handler that shows them,
// and what ends the reporting.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lagoonlink",
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return scope, reporter.HTTPHandler(), closer
}

// Latencies are the buckets of latency histograms: 2 ms to about 8 s.
var Latencies = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)
