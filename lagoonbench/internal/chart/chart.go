// Package chart plots the latency and staleness distributions of reports, for
// comparison of variants.
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

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Draw reads report files and writes one plot of their latencies and one of their
// staleness. It appends "latency" and "staleness" and the file extension to the
// prefix; the format is "png" or "svg". It returns the paths of the plots.
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
	for _, c := range []struct {
		title, axis, file string
		values            map[string][]float64
	}{
		{"Latency", "seconds", "latency", latency},
		{"Staleness at receipt", "versions behind", "staleness", staleness},
	} {
		path := prefix + c.file + "." + format
		if err := drawDistribution(c.title, c.axis, path, c.values); err != nil {
			return nil, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// drawDistribution plots the empirical cumulative distributions of sorted values.
func drawDistribution(title, axis, path string, values map[string][]float64) error {
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
		lines = append(lines, name, cumulativeShares(values[name]))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// cumulativeShares returns, for each value, the share of values at or below it.
func cumulativeShares(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, len(sorted))
	for i, v := range sorted {
		points[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(sorted))}
	}
	return points
}
