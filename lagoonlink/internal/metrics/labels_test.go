package metrics_test

import (
	"fmt"
	"testing"

	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/rollout/assert"
)

// TestLabels guards against metrics that grow with every tenant that ever existed.
func TestLabels(t *testing.T) {
	l := metrics.NewLabels()
	values := map[string]bool{}
	for n := range 1000 {
		values[l.Value(fmt.Sprint("tenant", n))] = true
	}
	assert.Equal(t, "values", len(values), 65)
	assert.Equal(t, "an early name", l.Value("tenant63"), "tenant63")
	assert.Equal(t, "a late name", l.Value("tenant64"), "other")
	assert.Equal(t, "a name without labels", (*metrics.Labels)(nil).Value("tenant0"), "other")
}
