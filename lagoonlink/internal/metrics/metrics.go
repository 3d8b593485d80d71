// Package metrics creates the scope for counters and histograms and the handler
// from which a Prometheus-compatible scraper reads them.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of the scope to the handler.
const reportInterval = 10 * time.Second

// New returns a scope whose metrics have the tags, the handler that serves them,
// and a closer that stops the reporting.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lagoonlink",
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// LatencyBuckets are the buckets of latency histograms: 2 ms to about 8 s.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)
