// Package cmd implements the command line of lagoonctl.
//
// Its exit codes are 0 for success, 1 for a failure, 2 for a wrong command line, 3
// for a refused publication, and 4 if diff finds differences.
package cmd

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonlink.org/lagoonctl/internal/publish"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/platform"
)

// Exit codes.
const (
	exitOK        = 0
	exitFailed    = 1
	exitUsage     = 2
	exitRefused   = 3
	exitDifferent = 4
)

// exitError is an error that ends the program with a specific exit code.
type exitError struct {
	code    int
	message string
}

func (e exitError) Error() string { return e.message }

// program is one run of the command with its input and outputs.
type program struct {
	in       io.Reader
	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, in io.Reader, out, errOut io.Writer) int {
	p := &program{in: in, out: out, err: errOut}
	err := p.command().Run(context.Background(), arguments)
	if err == nil {
		return exitOK
	}
	var exit exitError
	if errors.As(err, &exit) {
		fmt.Fprintln(errOut, exit.message)
		return exit.code
	}
	fmt.Fprintln(errOut, "lagoonctl:", err)
	return exitFailed
}

func (p *program) command() *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: "log", Usage: "`ADDRESS` of the platform's log, IP address and port", Sources: cli.EnvVars("LAGOONCTL_LOG")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		&cli.DurationFlag{Name: "timeout", Usage: "longest time for all attempts", Value: 30 * time.Second},
		&cli.StringSliceFlag{Name: "operator-key", Usage: "operators' public `KEY` that publications must be signed with", Sources: cli.EnvVars("LAGOONCTL_OPERATOR_KEYS")},
	}
	return &cli.Command{
		Name:      "lagoonctl",
		Usage:     "check, publish and show configurations",
		ErrWriter: p.err,
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a configuration", ArgsUsage: "FILE|-", Action: p.check},
			{Name: "diff", Usage: "compare a configuration with the one in force", ArgsUsage: "FILE|-", Flags: common, Action: p.diff},
			{
				Name: "publish", Usage: "publish a configuration", ArgsUsage: "FILE|-", Action: p.publish,
				Flags: append([]cli.Flag{
					&cli.IntFlag{Name: "base", Usage: "`VERSION` that the change is based on; by default the version in force", Value: -1},
					&cli.StringSliceFlag{Name: "accept", Usage: "accept the dangerous change `NAME`"},
					&cli.StringFlag{Name: "author", Usage: "author's `NAME` for the history", Value: currentUser()},
					&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's ed25519 seed in hexadecimal"},
				}, common...),
			},
			{Name: "history", Usage: "show the latest publications", Flags: common, Action: p.history},
			{Name: "show", Usage: "print the configuration in force according to the log", Flags: common, Action: p.show},
			{
				Name: "status", Usage: "show which version is in force on each entry VM", Action: p.status,
				Flags: append([]cli.Flag{&cli.StringSliceFlag{Name: "vm", Usage: "operations `ADDRESS` of an entry VM"}}, common...),
			},
		},
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// maxInputBytes is the largest configuration read from a file or standard input.
const maxInputBytes = configuration.MaxRecordBytes

// read reads the file that the only argument names, or standard input for "-".
func (p *program) read(c *cli.Command) ([]byte, error) {
	name := c.Args().First()
	if name == "" || c.Args().Len() > 1 {
		return nil, exitError{exitUsage, "expected one FILE, or - for standard input"}
	}
	in := p.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err == nil && len(data) > maxInputBytes {
		err = fmt.Errorf("%s: more than %d bytes", name, maxInputBytes)
	}
	return data, err
}

func (p *program) readChecked(c *cli.Command) ([]byte, rollout.Configuration, error) {
	document, err := p.read(c)
	if err != nil {
		return nil, rollout.Configuration{}, err
	}
	parsed, err := configuration.Decode(document)
	return document, parsed, err
}

func (p *program) check(_ context.Context, c *cli.Command) error {
	_, parsed, err := p.readChecked(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "configuration %s is valid: %d pools, %d services, %d trainers, %d callers\n",
		parsed.Name, len(parsed.Pools), len(parsed.Services), len(parsed.Trainers), len(parsed.Callers))
	return nil
}

// newClient returns a client for the log at the --log address that accepts only
// publications signed with one of the --operator-key keys, if there are any.
func (p *program) newClient(c *cli.Command) (*publish.Client, error) {
	address := c.String("log")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, exitError{exitUsage, fmt.Sprintf("--log: got %q, expected IP address and port", address)}
	}
	client := platform.New(httpclient.New(httpclient.Config{ConnectTimeout: 2 * time.Second, MaxIdlePerServer: 1}), platform.Addresses{Log: address})
	keys := c.StringSlice("operator-key")
	if len(keys) == 0 {
		return publish.New(client, configuration.Checks{}), nil
	}
	return publish.New(client, configuration.Checks{VerifySignature: func(pub configuration.Publication) error { return verifySignature(keys, pub) }}), nil
}

// verifySignature returns an error unless the publication is signed with one of the
// public keys, which are in hexadecimal.
func verifySignature(keys []string, pub configuration.Publication) error {
	for _, k := range keys {
		key, err := hex.DecodeString(k)
		if err == nil && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, pub.SigningBytes(), pub.Signature) {
			return nil
		}
	}
	return errors.New("the publication is not signed with an operator's key")
}

func (p *program) readState(ctx context.Context, c *cli.Command) (*publish.Client, configuration.State, error) {
	client, err := p.newClient(c)
	if err != nil {
		return nil, configuration.State{}, err
	}
	s, err := client.Read(ctx)
	return client, s, err
}

func (p *program) diff(ctx context.Context, c *cli.Command) error {
	_, next, err := p.readChecked(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	_, s, err := p.readState(ctx, c)
	if err != nil {
		return err
	}
	old, err := inForce(s)
	if err != nil {
		return err
	}
	changes, dangers := configuration.Diff(old, next), configuration.Dangers(old, next)
	if c.Bool("json") {
		err = p.printJSON(struct {
			Base    rollout.ConfigurationVersion
			Changes []configuration.Change
			Dangers []configuration.Danger
		}{s.Version, changes, dangers})
	} else {
		fmt.Fprintf(p.out, "compared with version %d\n", s.Version)
		p.printChanges(changes)
		p.printDangers(dangers)
	}
	if err == nil && len(changes) > 0 {
		return exitError{exitDifferent, fmt.Sprintf("%d differences", len(changes))}
	}
	return err
}

// inForce decodes the configuration in force, which is empty before the first
// publication.
func inForce(s configuration.State) (rollout.Configuration, error) {
	if s.Version == 0 {
		return rollout.Configuration{}, nil
	}
	return configuration.Decode(s.Document)
}

func (p *program) printChanges(changes []configuration.Change) {
	for _, c := range changes {
		fmt.Fprintf(p.out, "  %s: %s -> %s\n", c.Path, orNone(c.Old), orNone(c.New))
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

func (p *program) printDangers(dangers []configuration.Danger) {
	for _, d := range dangers {
		fmt.Fprintf(p.out, "dangerous: %s: needs --accept %s\n", d.Detail, d.Name)
	}
}

func (p *program) printJSON(value any) error {
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func (p *program) publish(ctx context.Context, c *cli.Command) error {
	document, next, err := p.readChecked(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	client, before, err := p.readState(ctx, c)
	if err != nil {
		return err
	}
	request := publish.Request{Document: document, Base: before.Version, Author: c.String("author"), Accept: c.StringSlice("accept")}
	if base := c.Int("base"); base >= 0 {
		request.Base = rollout.ConfigurationVersion(base)
	}
	if request.Key, err = readKey(c.String("key-file")); err != nil {
		return err
	}
	outcome, after, err := client.Publish(ctx, request)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = p.printJSON(outcome)
	}
	if outcome.Result != configuration.Accepted {
		return p.explainRefusal(outcome, before, after, next)
	}
	if !c.Bool("json") {
		fmt.Fprintf(p.out, "version %d is accepted at offset %d\n", outcome.Version, outcome.Offset)
	}
	return err
}

// explainRefusal returns an error with the reason for a refusal. If the base was
// outdated, it also prints both sides' changes and what to do next.
func (p *program) explainRefusal(o configuration.Outcome, before, after configuration.State, own rollout.Configuration) error {
	if o.Result == configuration.RefusedBase {
		base, _ := inForce(before)
		theirs, _ := inForce(after)
		fmt.Fprintf(p.out, "changed by others since version %d:\n", before.Version)
		p.printChanges(configuration.Diff(base, theirs))
		fmt.Fprintf(p.out, "changed by you:\n")
		p.printChanges(configuration.Diff(base, own))
		fmt.Fprintf(p.out, "merge their changes into your declaration, check it with lagoonctl diff, and publish again\n")
	}
	return exitError{exitRefused, fmt.Sprintf("refused: %s: %s", o.Result, o.Detail)}
}

// readKey reads an ed25519 seed in hexadecimal. It returns nil if file is empty.
func readKey(file string) (ed25519.PrivateKey, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--key-file: %w", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("--key-file %s: expected %d bytes in hexadecimal", file, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func (p *program) history(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	_, s, err := p.readState(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(s.Outcomes)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tVERSION\tRESULT\tAUTHOR\tDETAIL")
	for _, o := range s.Outcomes {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", o.Offset, o.Version, o.Result, o.Author, strings.ReplaceAll(o.Detail, "\n", "; "))
	}
	return w.Flush()
}

func (p *program) show(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	_, s, err := p.readState(ctx, c)
	if err != nil {
		return err
	}
	if s.Version == 0 {
		return errors.New("no configuration has been published yet")
	}
	if c.Bool("json") {
		return p.printJSON(struct {
			Version  rollout.ConfigurationVersion
			Digest   string
			Document string
		}{s.Version, s.Digest, string(s.Document)})
	}
	_, err = p.out.Write(s.Document)
	return err
}
