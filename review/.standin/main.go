// Program standin runs the cases of the review: it starts the programs of the deploy
// file, stands in for the platform's store, the samplers and the consumers, makes the
// disruption, and checks the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

var (
	startedAt = time.Now()
	// trouble is false for the run without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"

	mu       sync.Mutex
	record   *os.File
	cleanups []func()
)

// note writes a line to the record.
func note(format string, arguments ...any) {
	mu.Lock()
	defer mu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%8.3f %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// atEnd registers a function that ends something that the case started.
func atEnd(f func()) {
	mu.Lock()
	defer mu.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	mu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	note("the case can't run: %s", text)
	fmt.Fprintln(os.Stderr, "the case can't run:", text)
	exit(exitNotRun)
}

// verdict ends the case: the rule was broken if there are violations.
func verdict(rule string, violations []string) {
	for i, v := range violations {
		if i == 20 {
			note("... and %d more", len(violations)-i)
			break
		}
		note("BROKEN %s: %s", rule, v)
	}
	note("%s: %d violations", rule, len(violations))
	fmt.Printf("%s: %d violations\n", rule, len(violations))
	for _, v := range violations[:min(3, len(violations))] {
		fmt.Println("  " + v)
	}
	if len(violations) > 0 {
		exit(exitBroken)
	}
	exit(exitHeld)
}

var cases = map[string]func(folder string){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "sampler" {
		samplerProcess(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository's root")
		os.Exit(exitNotRun)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat("target/lagoonlink"); err != nil {
		cannotRun("build the deploy file first: %v", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	if os.Getenv("KEEP") == "" {
		atEnd(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", filepath.Clean(folder))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(timeLimit, func() { cannotRun("the time limit has passed") })
	note("case %s, trouble %v", os.Args[1], trouble)
	cases[os.Args[1]](folder)
}
