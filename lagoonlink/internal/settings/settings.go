// Package settings defines, loads and checks the settings of an entry VM. A YAML
// file overrides the defaults and must not contain unknown fields; environment
// variables and then flags override single settings. The result is checked as a
// whole.
//
// The doc tags below appear in docs/SETTINGS.md and in the output of
// "lagoonlink check --print-defaults".
package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"lagoonlink.org/rollout"
)

// Settings holds the settings of one entry VM.
type Settings struct {
	VM       VM       `yaml:"VM"`
	Listen   Listen   `yaml:"Listen"`
	Peers    Peers    `yaml:"Peers"`
	Platform Platform `yaml:"Platform"`
	Log      Log      `yaml:"Log"`
	Limits   Limits   `yaml:"Limits"`
	Timing   Timing   `yaml:"Timing"`
	Publish  Publish  `yaml:"Publish"`
	Bench    Bench    `yaml:"Bench"`
}

// VM identifies the entry VM.
type VM struct {
	Name string `yaml:"Name" doc:"Name of this entry VM, unique in the deployment."`
	Zone string `yaml:"Zone" doc:"Availability zone of this entry VM."`
}

// Listen holds the addresses that the entry VM listens on.
type Listen struct {
	Callers    string `yaml:"Callers" doc:"IP number and port for callers and trainers."`
	Peers      string `yaml:"Peers" doc:"IP number and port for other entry VMs, TCP and UDP."`
	Operations string `yaml:"Operations" doc:"IP number and port for health, metrics and status."`
}

// Peers says how to reach and authenticate other entry VMs.
type Peers struct {
	Seeds    []string `yaml:"Seeds" doc:"Peer addresses to try besides the platform's list."`
	Keys     []string `yaml:"Keys" doc:"Keys shared by the entry VMs, hexadecimal, 16 bytes or more; the first seals, all are accepted."`
	KeyFiles []string `yaml:"KeyFiles" doc:"Files with one such key each, after Keys."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log     string `yaml:"Log" doc:"IP number and port of the append-only log."`
	Weights string `yaml:"Weights" doc:"IP number and port of the weight store."`
	VMs     string `yaml:"VMs" doc:"IP number and port of the list of VMs."`
}

// Log configures logging.
type Log struct {
	Level  string `yaml:"Level" doc:"Lowest level logged: debug, info, warning or error."`
	Format string `yaml:"Format" doc:"Form of the log: text or json."`
}

// Limits limits the work that the entry VM accepts.
type Limits struct {
	QueuedPerClass  int `yaml:"QueuedPerClass" doc:"Most requests queued in a class of a pool or service."`
	QueuedPerTenant int `yaml:"QueuedPerTenant" doc:"Most of those of one tenant."`
	BodyBytes       int `yaml:"BodyBytes" doc:"Largest request body in bytes."`
	ResponseBytes   int `yaml:"ResponseBytes" doc:"Most bytes of response bodies of plain services that are held while they are read; further responses are broken off."`
	PeerBytes       int `yaml:"PeerBytes" doc:"Most bytes of bodies that are held for other VMs, which reach no backend server themselves; further ones are refused."`
	Ring            int `yaml:"Ring" doc:"Length of the bounded ring before each duty."`
	ReportsASecond  int `yaml:"ReportsASecond" doc:"Load reports asked of engines each second while no weights change."`
}

// Timing holds intervals and timeouts.
type Timing struct {
	Notice        time.Duration `yaml:"Notice" doc:"Time between failing readiness and refusing new requests at a shutdown."`
	Drain         time.Duration `yaml:"Drain" doc:"Longest wait for requests in progress at a shutdown."`
	Request       time.Duration `yaml:"Request" doc:"Longest time of a caller's request."`
	Silence       time.Duration `yaml:"Silence" doc:"Longest time between two events of an engine's answer before it is broken off and continued elsewhere."`
	ListEvery     time.Duration `yaml:"ListEvery" doc:"Time between two readings of the platform's list of VMs."`
	WeightsEvery  time.Duration `yaml:"WeightsEvery" doc:"Time between two readings of the weight store's latest versions."`
	SnapshotEvery time.Duration `yaml:"SnapshotEvery" doc:"Age of the newest snapshot at which another is appended; well below the log's retention."`
	Lease         time.Duration `yaml:"Lease" doc:"How long a claim to send orders holds."`
	Guard         time.Duration `yaml:"Guard" doc:"How much longer others wait where engines ignore fencing numbers."`
	StepIdle      time.Duration `yaml:"StepIdle" doc:"Time without a pull after which a step is dropped."`
}

// Publish says whose configuration publications are accepted.
type Publish struct {
	Keys []string `yaml:"Keys" doc:"Operators' ed25519 public keys, hexadecimal; none asks for no signatures."`
}

// Bench selects baseline behavior for benchmarks.
type Bench struct {
	Placement string `yaml:"Placement" doc:"Placement policy: locality, round-robin or least-outstanding."`
	NoTwins   bool   `yaml:"NoTwins" doc:"Whether stragglers get no second attempt."`
}

// Defaults returns the settings that apply unless they are overridden.
func Defaults() Settings {
	return Settings{
		Listen: Listen{Callers: "0.0.0.0:8080", Peers: "0.0.0.0:8081", Operations: "0.0.0.0:8082"},
		Log:    Log{Level: "info", Format: "text"},
		Limits: Limits{QueuedPerClass: 16384, QueuedPerTenant: 8192, BodyBytes: 32 << 20, ResponseBytes: 128 << 20, PeerBytes: 128 << 20, Ring: 4096, ReportsASecond: 2},
		Timing: Timing{
			Notice:        5 * time.Second,
			Drain:         10 * time.Minute,
			Request:       10 * time.Minute,
			Silence:       5 * time.Second,
			ListEvery:     2 * time.Second,
			WeightsEvery:  500 * time.Millisecond,
			SnapshotEvery: 10 * time.Minute,
			Lease:         3 * time.Second,
			Guard:         2 * time.Second,
			StepIdle:      20 * time.Second,
		},
		Bench: Bench{Placement: "locality"},
	}
}

// minKeyBytes is the length of the shortest accepted peer key.
const minKeyBytes = 16

// ReadKeys returns the decoded peer keys: those in Keys, then those in KeyFiles.
func (p Peers) ReadKeys() ([][]byte, error) {
	texts := append([]string(nil), p.Keys...)
	for _, file := range p.KeyFiles {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("Peers.KeyFiles: %w", err)
		}
		texts = append(texts, strings.TrimSpace(string(text)))
	}
	var keys [][]byte
	for i, t := range texts {
		key, err := hex.DecodeString(t)
		if err != nil || len(key) < minKeyBytes {
			return nil, fmt.Errorf("Peers.Keys: key %d: expected at least %d bytes in hexadecimal", i+1, minKeyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("Peers.Keys: expected at least one key, here or in KeyFiles")
	}
	return keys, nil
}

// Check returns an error with one line for each invalid setting, which begins with
// the setting's path, or nil.
func (s *Settings) Check() error {
	errs := []error{
		rollout.CheckName("VM.Name", s.VM.Name),
		rollout.CheckName("VM.Zone", s.VM.Zone),
		checkAddress("Listen.Callers", s.Listen.Callers),
		checkAddress("Listen.Peers", s.Listen.Peers),
		checkAddress("Listen.Operations", s.Listen.Operations),
		checkAddress("Platform.Log", s.Platform.Log),
		checkAddress("Platform.Weights", s.Platform.Weights),
		checkAddress("Platform.VMs", s.Platform.VMs),
		checkOneOf("Log.Level", s.Log.Level, "debug", "info", "warning", "error"),
		checkOneOf("Log.Format", s.Log.Format, "text", "json"),
		checkOneOf("Bench.Placement", s.Bench.Placement, "locality", "round-robin", "least-outstanding"),
		checkRange("Limits.QueuedPerClass", s.Limits.QueuedPerClass, 1, 1<<20),
		checkRange("Limits.QueuedPerTenant", s.Limits.QueuedPerTenant, 1, 1<<20),
		checkRange("Limits.BodyBytes", s.Limits.BodyBytes, 1<<10, 256<<20),
		checkRange("Limits.ResponseBytes", s.Limits.ResponseBytes, 1<<20, 1<<40),
		checkRange("Limits.PeerBytes", s.Limits.PeerBytes, 1<<20, 1<<40),
		checkRange("Limits.Ring", s.Limits.Ring, 16, 1<<20),
		checkRange("Limits.ReportsASecond", s.Limits.ReportsASecond, 1, 10000),
		checkDuration("Timing.Notice", s.Timing.Notice, 0, time.Hour),
		checkDuration("Timing.Drain", s.Timing.Drain, time.Second, 24*time.Hour),
		checkDuration("Timing.Request", s.Timing.Request, time.Second, 24*time.Hour),
		checkDuration("Timing.Silence", s.Timing.Silence, 100*time.Millisecond, time.Hour),
		checkDuration("Timing.ListEvery", s.Timing.ListEvery, 50*time.Millisecond, time.Hour),
		checkDuration("Timing.WeightsEvery", s.Timing.WeightsEvery, 50*time.Millisecond, time.Hour),
		checkDuration("Timing.SnapshotEvery", s.Timing.SnapshotEvery, time.Second, 24*time.Hour),
		checkDuration("Timing.Lease", s.Timing.Lease, time.Second, time.Hour),
		checkDuration("Timing.Guard", s.Timing.Guard, time.Second, time.Hour),
		checkDuration("Timing.StepIdle", s.Timing.StepIdle, time.Second, time.Hour),
	}
	for i, a := range s.Peers.Seeds {
		errs = append(errs, checkAddress(fmt.Sprintf("Peers.Seeds[%d]", i), a))
	}
	for i, k := range s.Publish.Keys {
		if key, err := hex.DecodeString(k); err != nil || len(key) != publicKeyBytes {
			errs = append(errs, fmt.Errorf("Publish.Keys[%d]: expected %d bytes in hexadecimal", i, publicKeyBytes))
		}
	}
	if _, err := s.Peers.ReadKeys(); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// publicKeyBytes is the length of an ed25519 public key.
const publicKeyBytes = 32

func checkAddress(path, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: got %q, expected IP address and port", path, address)
	}
	return nil
}

func checkOneOf(path, got string, allowed ...string) error {
	for _, a := range allowed {
		if got == a {
			return nil
		}
	}
	return fmt.Errorf("%s: got %q, expected one of %s", path, got, strings.Join(allowed, ", "))
}

func checkRange(path string, got, low, high int) error {
	if got < low || got > high {
		return fmt.Errorf("%s: got %d, expected %d to %d", path, got, low, high)
	}
	return nil
}

func checkDuration(path string, got, low, high time.Duration) error {
	if got < low || got > high {
		return fmt.Errorf("%s: got %s, expected %s to %s", path, got, low, high)
	}
	return nil
}
