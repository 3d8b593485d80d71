// Package cmd implements the command line of lagoonbench.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonlink.org/lagoonbench/internal/chart"
	"lagoonlink.org/lagoonbench/internal/hop"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/scenario"
	"lagoonlink.org/lagoonbench/internal/slopes"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

var errPromiseBroken = errors.New("a promise was broken")

// Main runs the command with the given arguments, including the program name, and
// returns the exit code.
func Main(arguments []string) int {
	if err := command(os.Stdout).Run(context.Background(), arguments); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonbench:", err)
		return exitFailed
	}
	return exitOK
}

func command(out io.Writer) *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: "programs", Usage: "`DIR` with the compiled programs", Value: defaultPrograms()},
		&cli.Uint64Flag{Name: "seed", Usage: "random seed for sample lengths and faults", Value: 1},
	}
	return &cli.Command{
		Name:  "lagoonbench",
		Usage: "run lagoonlink against stand-ins and report broken promises and latencies",
		Commands: []*cli.Command{
			{
				Name:   "demo",
				Usage:  "run a short scenario that covers the main features and print a summary",
				Flags:  common,
				Action: func(ctx context.Context, c *cli.Command) error { return runScenario(ctx, out, c, "demo") },
			},
			{
				Name:  "hop",
				Usage: "measure the latency and CPU time that an entry VM adds to a request",
				Flags: append([]cli.Flag{
					&cli.DurationFlag{Name: "each", Usage: "duration of each measurement", Value: 3 * time.Second},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error {
					return hop.Measure(ctx, out, hop.Config{Programs: c.String("programs"), Seed: c.Uint64("seed"), Duration: c.Duration("each")})
				},
			},
			{
				Name:  "slopes",
				Usage: "measure how costs grow with size, and estimate the size to design for",
				Flags: append([]cli.Flag{
					&cli.DurationFlag{Name: "each", Usage: "duration of each measurement", Value: 6 * time.Second},
					&cli.StringFlag{Name: "page", Usage: "update the table in the Markdown page `FILE`"},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error { return measureSlopes(ctx, out, c) },
			},
			{
				Name:      "plot",
				Usage:     "plot the latency and staleness distributions of reports",
				ArgsUsage: "FILE...",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "prefix", Usage: "`PREFIX` of the paths of the plots", Value: "./"},
					&cli.StringFlag{Name: "format", Usage: "file format: png or svg", Value: "png"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					paths, err := chart.Draw(c.Args().Slice(), c.String("prefix"), c.String("format"))
					for _, p := range paths {
						fmt.Fprintln(out, p)
					}
					return err
				},
			},
			{
				Name:  "run",
				Usage: "run a scenario",
				Flags: append([]cli.Flag{
					&cli.StringFlag{Name: "scenario", Usage: "`NAME` of the scenario to run"},
					&cli.StringFlag{Name: "report", Usage: "write the report as JSON to `FILE`"},
					&cli.StringFlag{Name: "variant", Usage: "run the baseline variant `NAME`"},
					&cli.BoolFlag{Name: "list", Usage: "list the scenarios"},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Bool("list") {
						return listScenarios(out)
					}
					return runScenario(ctx, out, c, c.String("scenario"))
				},
			},
		},
	}
}

func defaultPrograms() string {
	executable, err := os.Executable()
	if err != nil {
		return "."
	}
	return scenario.DefaultPrograms(executable)
}

func listScenarios(out io.Writer) error {
	for _, s := range scenario.All() {
		fmt.Fprintf(out, "%-18s %s\n", s.Name, s.Description)
	}
	return nil
}

func runScenario(ctx context.Context, out io.Writer, c *cli.Command, name string) error {
	s, err := scenario.Find(name)
	if err != nil {
		return err
	}
	r, err := scenario.Execute(ctx, s, scenario.Options{Programs: c.String("programs"), Seed: c.Uint64("seed"), Variant: c.String("variant")})
	if summaryErr := r.Summary(out); summaryErr != nil {
		return summaryErr
	}
	if file := c.String("report"); file != "" {
		err = errors.Join(err, r.WriteFile(file))
	}
	if err != nil {
		return err
	}
	return checkPromises(r)
}

func checkPromises(r report.Report) error {
	if r.Violations() > 0 {
		return errPromiseBroken
	}
	return nil
}

// settleTime lets connections be established and membership views converge before
// a measurement.
const settleTime = 4 * time.Second

func measureSlopes(ctx context.Context, out io.Writer, c *cli.Command) error {
	config := slopes.Config{Programs: c.String("programs"), Seed: c.Uint64("seed"), Settle: settleTime, Duration: c.Duration("each")}
	results, err := slopes.Measure(ctx, config, out)
	if err != nil {
		return err
	}
	table := slopes.Table(results)
	if page := c.String("page"); page != "" {
		return slopes.UpdatePage(page, table)
	}
	_, err = fmt.Fprint(out, table)
	return err
}
