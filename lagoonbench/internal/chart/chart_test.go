package chart_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"lagoonlink.org/lagoonbench/internal/chart"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/rollout/assert"
)

func TestDraw(t *testing.T) {
	c := report.NewCollector("demo", 1)
	for i := range 20 {
		c.RecordAnswer("pages", "Service", time.Duration(i)*time.Millisecond)
		c.RecordStaleness("notices", float64(i%3))
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "demo.json")
	assert.NoError(t, "write", c.Finish().WriteFile(file))
	for _, format := range []string{"png", "svg"} {
		t.Run(format, func(t *testing.T) {
			paths, err := chart.Draw([]string{file}, dir+"/", format)
			assert.NoError(t, "draw", err)
			for _, p := range paths {
				info, err := os.Stat(p)
				assert.NoError(t, "stat", err)
				assert.True(t, "the plot has content", info.Size() > 1000)
			}
		})
	}
	t.Run("unknown format", func(t *testing.T) {
		_, err := chart.Draw([]string{file}, dir, "bmp")
		assert.ErrorContains(t, "draw", err, `got "bmp"`)
	})
	t.Run("missing report file", func(t *testing.T) {
		_, err := chart.Draw([]string{dir + "/none.json"}, dir, "png")
		assert.True(t, "there is an error", err != nil)
	})
}
