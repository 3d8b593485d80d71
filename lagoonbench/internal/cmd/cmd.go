// Package cmd is the command line of lagoonbench.
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

var errBroken = errors.New("a promise was broken")

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	if err := command(os.Stdout).Run(context.Background(), arguments); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonbench:", err)
		return exitFailed
	}
	return exitOK
}

func command(out io.Writer) *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: "programs", Usage: "`FOLDER` with the built programs", Value: programs()},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of lengths and faults", Value: 1},
	}
	return &cli.Command{
		Name:  "lagoonbench",
		Usage: "run lagoonlink against stand-ins, and report what was promised against what happened",
		Commands: []*cli.Command{
			{
				Name:   "demo",
				Usage:  "run the whole path once and print a summary",
				Flags:  common,
				Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, out, c, "demo") },
			},
			{
				Name:  "hop",
				Usage: "measure what an entry VM adds to a request",
				Flags: append([]cli.Flag{
					&cli.DurationFlag{Name: "each", Usage: "length of each measurement", Value: 3 * time.Second},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error {
					return hop.Measure(ctx, out, hop.Config{Programs: c.String("programs"), Seed: c.Uint64("seed"), Each: c.Duration("each")})
				},
			},
			{
				Name:  "slopes",
				Usage: "measure how costs grow with size, and work out the size to design for",
				Flags: append([]cli.Flag{
					&cli.DurationFlag{Name: "each", Usage: "length of each measurement", Value: 6 * time.Second},
					&cli.StringFlag{Name: "page", Usage: "rewrite the table in the page `FILE`"},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error { return measureSlopes(ctx, out, c) },
			},
			{
				Name:      "plot",
				Usage:     "draw the distributions of reports",
				ArgsUsage: "FILE...",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "prefix", Usage: "`PREFIX` of the pictures' names", Value: "./"},
					&cli.StringFlag{Name: "format", Usage: "png or svg", Value: "png"},
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
					&cli.StringFlag{Name: "scenario", Usage: "`NAME` of the scenario"},
					&cli.StringFlag{Name: "report", Usage: "write the report as JSON to `FILE`"},
					&cli.StringFlag{Name: "variant", Usage: "run a baseline: `NAME`"},
					&cli.BoolFlag{Name: "list", Usage: "list the scenarios"},
				}, common...),
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Bool("list") {
						return list(out)
					}
					return run(ctx, out, c, c.String("scenario"))
				},
			},
		},
	}
}

func programs() string {
	executable, err := os.Executable()
	if err != nil {
		return "."
	}
	return scenario.DefaultPrograms(executable)
}

func list(out io.Writer) error {
	for _, s := range scenario.All() {
		fmt.Fprintf(out, "%-18s %s\n", s.Name, s.Description)
	}
	return nil
}

func run(ctx context.Context, out io.Writer, c *cli.Command, name string) error {
	s, err := scenario.Find(name)
	if err != nil {
		return err
	}
	r, err := scenario.Execute(ctx, s, scenario.Options{Programs: c.String("programs"), Seed: c.Uint64("seed"), Variant: c.String("variant")})
	if printed := r.Summary(out); printed != nil {
		return printed
	}
	if file := c.String("report"); file != "" {
		err = errors.Join(err, r.WriteFile(file))
	}
	if err != nil {
		return err
	}
	return verdict(r)
}

func verdict(r report.Report) error {
	if r.Broken() > 0 {
		return errBroken
	}
	return nil
}

// settle is the wait before a measurement, for connections and views.
const settle = 4 * time.Second

func measureSlopes(ctx context.Context, out io.Writer, c *cli.Command) error {
	config := slopes.Config{Programs: c.String("programs"), Seed: c.Uint64("seed"), Settle: settle, Each: c.Duration("each")}
	all, err := slopes.Measure(ctx, config, out)
	if err != nil {
		return err
	}
	table := slopes.Table(all)
	if page := c.String("page"); page != "" {
		return slopes.Rewrite(page, table)
	}
	_, err = fmt.Fprint(out, table)
	return err
}
