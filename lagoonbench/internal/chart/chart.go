// Package chart draws reports: a distribution of each latency and staleness, so
// that variants can be laid side by side.
package chart

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lagoonlink.org/lagoonbench/internal/report"
)

// Size of a picture.
const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Draw draws latencies and staleness of reports into two pictures whose names
// begin with a prefix; the format is "png" or "svg". It returns their paths.
func Draw(files []string, prefix, format string) ([]string, error) {
	if format != "png" && format != "svg" {
		return nil, fmt.Errorf("format: got %q, expected png or svg", format)
	}
	latency, staleness := map[string][]float64{}, map[string][]float64{}
	for _, f := range files {
		r, err := report.ReadFile(f)
		if err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		for k, d := range r.Latency {
			latency[name+" "+k] = d.Values
		}
		for k, d := range r.Staleness {
			staleness[name+" "+k] = d.Values
		}
	}
	var paths []string
	for _, picture := range []struct {
		title, axis, file string
		values            map[string][]float64
	}{
		{"Latency", "seconds", "latency", latency},
		{"Staleness at receipt", "versions behind", "staleness", staleness},
	} {
		path := prefix + picture.file + "." + format
		if err := distribution(picture.title, picture.axis, path, picture.values); err != nil {
			return nil, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// distribution draws the share of values at or below each value.
func distribution(title, axis, path string, values map[string][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, axis, "share at or below"
	p.Legend.Top, p.Legend.Left = false, false
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines []any
	for _, name := range names {
		lines = append(lines, name, steps(values[name]))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, path)
}

func steps(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, len(sorted))
	for i, v := range sorted {
		points[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(sorted))}
	}
	return points
}
