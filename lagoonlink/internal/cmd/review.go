package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"lagoonlink.org/platform/store"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/review"
)

// maxConfigurationBytes is the largest configuration file that is read. The platform's
// records have at most 256 KiB.
const maxConfigurationBytes = 16 << 20

// exitError is an error that ends the program with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

// unreadable returns an error for a wrong command line or a file that can't be checked.
func unreadable(err error) error { return exitError{exitUnreadable, err} }

func reviewCommand(in io.Reader, out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "check-platform",
		Usage:     "check a configuration in the platform's form, and compare it with the one in force",
		ArgsUsage: "FILE|-",
		Description: "Exit codes: 0 no errors, 1 errors, 2 unreadable file or wrong command line. An error is what an\n" +
			"entry VM refuses; a warning is an entry without effect or limits that contradict each other.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "compare with the configuration `FILE`, which is in force"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return unreadable(err) },
		Action:       func(_ context.Context, c *cli.Command) error { return reviewConfiguration(in, out, c) },
	}
}

// reviewReport is the JSON output. Comparison is nil without a configuration to compare
// with, and if a VM would refuse the new one.
type reviewReport struct {
	Findings   []review.Finding
	Comparison *review.Comparison `json:",omitempty"`
}

func reviewConfiguration(in io.Reader, out io.Writer, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return unreadable(fmt.Errorf("check-platform: got %d arguments, expected one FILE, or - for standard input", c.Args().Len()))
	}
	table, findings, err := readReview(in, c.Args().First())
	if err != nil {
		return err
	}
	report := reviewReport{Findings: append([]review.Finding{}, findings...)}
	if name := c.String("against"); name != "" {
		old, _, err := readReview(in, name)
		switch {
		case err != nil:
			return err
		case old == nil:
			return unreadable(fmt.Errorf("%s: a VM would refuse this configuration, so it can't be in force", name))
		case table != nil:
			report.compare(*old, *table)
		}
	}
	if c.Bool("json") {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		err = e.Encode(report)
	} else {
		err = report.print(out)
	}
	if err == nil && review.HasErrors(report.Findings) {
		err = fmt.Errorf("%s has errors", c.Args().First())
	}
	return err
}

// readReview reads and checks the named file, or standard input for "-".
func readReview(in io.Reader, name string) (*rollout.RouteTable, []review.Finding, error) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, unreadable(err)
		}
		defer f.Close()
		in = f
	}
	document, err := io.ReadAll(io.LimitReader(in, maxConfigurationBytes+1))
	if err == nil && len(document) > maxConfigurationBytes {
		err = fmt.Errorf("more than %d bytes", maxConfigurationBytes)
	}
	if err != nil {
		return nil, nil, unreadable(fmt.Errorf("%s: %w", name, err))
	}
	table, findings, err := store.Review(document)
	if err != nil {
		return nil, nil, unreadable(fmt.Errorf("%s: %w", name, err))
	}
	return table, findings, nil
}

// compare adds the comparison, with the platform's names of fields.
func (r *reviewReport) compare(old, next rollout.RouteTable) {
	for _, f := range review.Superseded(old, next) {
		f.Field = store.WireField(f.Field)
		r.Findings = append(r.Findings, f)
	}
	comparison := review.Compare(old, next)
	for i, c := range comparison.Changes {
		comparison.Changes[i].Field = store.WireField(c.Field)
	}
	r.Comparison = &comparison
}

func (r *reviewReport) print(out io.Writer) error {
	text := ""
	for _, f := range r.Findings {
		field := f.Field
		if field == "" {
			field = "document"
		}
		text += fmt.Sprintf("%s: %s: %s\n", f.Severity, field, f.Message)
	}
	if len(r.Findings) == 0 {
		text += "no findings\n"
	}
	if c := r.Comparison; c != nil {
		text += fmt.Sprintf("version %d to %d: %d changes\n", c.From, c.To, len(c.Changes))
		for _, change := range c.Changes {
			text += "  " + changeText(change) + "\n"
		}
	}
	_, err := io.WriteString(out, text)
	return err
}

func changeText(c review.Change) string {
	text := fmt.Sprintf("%s: %s", c.Kind, c.Entry)
	if c.Field != "" {
		text += fmt.Sprintf(": %s %s -> %s", c.Field, c.Old, c.New)
	}
	return text + "\n    " + c.Effect
}
