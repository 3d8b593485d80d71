// Package integration runs scenarios with real entry VM processes and checks that
// no promise is broken. The checks don't depend on the duration of a run.
package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"lagoonlink.org/lagoonbench/internal/scenario"
	"lagoonlink.org/rollout/assert"
)

var programs string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lagoonbench-programs-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"lagoonlink.org/lagoonlink", "lagoonlink.org/lagoonctl", "lagoonlink.org/deployments/tsehay", "lagoonlink.org/deployments/arjcb")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestPromises runs the demo and all fault scenarios. They run sequentially,
// because they share the same loopback addresses.
func TestPromises(t *testing.T) {
	for _, name := range []string{"demo", "sigterm", "rolling-restart", "kill", "pause", "crash", "platform-down", "leaving", "poison", "config-race"} {
		t.Run(name, func(t *testing.T) {
			s, err := scenario.Find(name)
			assert.NoError(t, "find", err)
			r, err := scenario.Execute(t.Context(), s, scenario.Options{Programs: programs, Seed: 1})
			for _, n := range r.Notes {
				t.Log(n)
			}
			assert.NoError(t, "run", err)
			assert.Equal(t, "promises broken", r.Violations(), 0)
			l := s.Load
			assert.Equal(t, "samples", r.Samples, l.Trainers*l.Steps*l.Groups*l.Samples)
		})
	}
}
