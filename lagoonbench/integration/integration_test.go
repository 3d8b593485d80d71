// Package integration runs scenarios with real processes and expects that no
// promise is broken. The verdict does not depend on how long a run takes.
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

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lagoonbench-programs-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator),
		"lagoonlink.org/lagoonlink", "lagoonlink.org/lagoonctl", "lagoonlink.org/deployments/tsehay", "lagoonlink.org/deployments/arjcb")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// TestPromises runs every fault; all use the same loopback addresses, so one
// after the other.
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
			assert.Equal(t, "promises broken", r.Broken(), 0)
			l := s.Load
			assert.Equal(t, "samples", r.Samples, l.Trainers*l.Steps*l.Groups*l.Samples)
		})
	}
}
