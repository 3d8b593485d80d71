// Package cmd implements the command line of lagoonlink, the daemon of an entry VM.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/settings"
	"lagoonlink.org/lagoonlink/internal/vm"
	"lagoonlink.org/rollout/lifecycle"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUnreadable is the exit code of check-platform for a file that it can't check.
	exitUnreadable = 2
)

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	return run(arguments, os.Stdin, os.Stdout, os.Stderr)
}

func run(arguments []string, in io.Reader, out, errOut io.Writer) int {
	err := command(in, out).Run(context.Background(), arguments)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "lagoonlink:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

func command(in io.Reader, out io.Writer) *cli.Command {
	settingsFlags := []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML"},
		&cli.StringSliceFlag{Name: "set", Usage: "override one setting, as `Path=Value`"},
	}
	return &cli.Command{
		Name:  "lagoonlink",
		Usage: "the daemon of an entry VM",
		Commands: []*cli.Command{
			{
				Name:   "serve",
				Usage:  "run the entry VM until a termination signal",
				Flags:  settingsFlags,
				Action: func(_ context.Context, c *cli.Command) error { return serve(c) },
			},
			{
				Name:   "platform",
				Usage:  "run the entry VM on the users' platform, with the settings that the platform provides",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at this `PORT` of the VM's address; 0 for none"}},
				Action: func(ctx context.Context, c *cli.Command) error { return serveOnPlatform(ctx, c.Int("metrics-port")) },
			},
			{
				Name:  "check",
				Usage: "check the settings, or print the defaults",
				Flags: append([]cli.Flag{
					&cli.BoolFlag{Name: "print-defaults", Usage: "print a commented settings file with the defaults"},
				}, settingsFlags...),
				Action: func(_ context.Context, c *cli.Command) error { return check(out, c) },
			},
			reviewCommand(in, out),
			{
				Name:   "version",
				Usage:  "print the program's version",
				Action: func(context.Context, *cli.Command) error { return version(out) },
			},
			{
				Name:   "document",
				Usage:  "print a generated page: events, settings or machines",
				Hidden: true,
				Action: func(_ context.Context, c *cli.Command) error { return document(out, c.Args().First()) },
			},
		},
	}
}

func load(c *cli.Command) (settings.Settings, error) {
	return settings.Load(settings.Sources{File: c.String("settings"), Environment: os.Environ(), Overrides: c.StringSlice("set")})
}

func serve(c *cli.Command) error {
	s, err := load(c)
	if err != nil {
		return err
	}
	v, err := vm.New(s)
	if err != nil {
		return err
	}
	return v.Run()
}

func check(out io.Writer, c *cli.Command) error {
	if c.Bool("print-defaults") {
		_, err := fmt.Fprint(out, settings.PrintDefaults())
		return err
	}
	if _, err := load(c); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "the settings are valid")
	return err
}

func version(out io.Writer) error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Fprintln(out, "lagoonlink", text)
	return err
}

func document(out io.Writer, page string) error {
	switch page {
	case "events":
		_, err := fmt.Fprint(out, event.Markdown())
		return err
	case "machines":
		_, err := fmt.Fprint(out, lifecycle.Markdown())
		return err
	case "settings":
		_, err := fmt.Fprint(out, settings.Markdown())
		return err
	}
	return fmt.Errorf("document: got %q, expected events, settings or machines", page)
}
