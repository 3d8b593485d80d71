package event_test

import (
	"os"
	"testing"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout/assert"
)

func TestCatalogue(t *testing.T) {
	seen := map[int]bool{}
	for _, e := range event.Catalogue() {
		assert.True(t, "number of "+e.Text+" is unique", !seen[e.Number])
		assert.True(t, "advice for "+e.Text, e.Advice != "")
		seen[e.Number] = true
	}
}

func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NoError(t, "read the page", err)
	assert.Equal(t, "page is up to date (make docs)", string(data) == event.Markdown(), true)
}
