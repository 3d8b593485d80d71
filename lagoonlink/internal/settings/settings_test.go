package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/lagoonlink/internal/settings"
	"lagoonlink.org/rollout/assert"
)

const validSettings = `VM: {Name: bole-1, Zone: Bole}
Listen: {Callers: "127.0.0.1:1", Peers: "127.0.0.1:2", Operations: "127.0.0.1:3"}
Peers: {Keys: ["00112233445566778899aabbccddeeff"]}
Platform: {Log: "127.0.0.1:4", Weights: "127.0.0.1:5", VMs: "127.0.0.1:6"}
`

func load(t *testing.T, text string, environment []string, overrides ...string) (settings.Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "vm.yaml")
	assert.NoError(t, "write", os.WriteFile(file, []byte(text), 0o600))
	return settings.Load(settings.Sources{File: file, Environment: environment, Overrides: overrides})
}

func TestPrecedence(t *testing.T) {
	s, err := load(t, validSettings+"Timing: {Notice: 1s, Drain: 2s}\n", []string{"LAGOONLINK_TIMING_DRAIN=3s", "PATH=/bin"}, "VM.Name=bole-2")
	assert.NoError(t, "load", err)
	assert.Equal(t, "a default", s.Timing.Request, 10*time.Minute)
	assert.Equal(t, "from the file", s.Timing.Notice, time.Second)
	assert.Equal(t, "from the environment", s.Timing.Drain, 3*time.Second)
	assert.Equal(t, "from a flag", s.VM.Name, "bole-2")
}

func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name, text  string
		environment []string
		overrides   []string
		want        string
	}{
		{"an unknown field", validSettings + "Colour: red\n", nil, nil, `vm.yaml: line 5, column 1: unknown field "Colour"`},
		{"a value of the wrong type", validSettings + "Limits: {Ring: many}\n", nil, nil, "line 5"},
		{"an invalid duration", validSettings + "Timing: {Notice: soon}\n", nil, nil, "line 5"},
		{"not YAML", "{{{", nil, nil, "line 1"},
		{"an address with a host name", strings.Replace(validSettings, "127.0.0.1:4", "log:4", 1), nil, nil, `vm.yaml: Platform.Log: got "log:4", expected IP address and port`},
		{"a short key", strings.Replace(validSettings, "00112233445566778899aabbccddeeff", "00", 1), nil, nil, "expected at least 16 bytes"},
		{"an unknown log level", validSettings + "Log: {Level: loud}\n", nil, nil, "Log.Level"},
		{"a number out of range", validSettings + "Limits: {Ring: 1}\n", nil, nil, "Limits.Ring: got 1, expected 16 to"},
		{"an unknown variable", validSettings, []string{"LAGOONLINK_COLOUR=red"}, nil, "LAGOONLINK_COLOUR"},
		{"an invalid variable", validSettings, []string{"LAGOONLINK_LIMITS_RING=many"}, nil, "expected a whole number"},
		{"an unknown path", validSettings, nil, []string{"VM.Colour=red"}, "--set VM.Colour=red: there is no such setting"},
		{"a flag without a value", validSettings, nil, []string{"VM.Name"}, "expected Path=Value"},
		{"two errors at once", strings.Replace(validSettings, "bole-1", "'bole 1'", 1) + "Limits: {Ring: 1}\n", nil, nil, "VM.Name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, c.text, c.environment, c.overrides...)
			assert.ErrorContains(t, "load", err, c.want)
		})
	}
}

func TestDefaultsAreValidYAML(t *testing.T) {
	var s settings.Settings
	assert.NoError(t, "decode", settings.Decode([]byte(settings.PrintDefaults()), &s))
	want := settings.Defaults()
	want.Peers = settings.Peers{Seeds: []string{}, Keys: []string{}, KeyFiles: []string{}}
	want.Publish.Keys = []string{}
	assert.Equal(t, "settings", s, want)
}

// TestPage checks that docs/SETTINGS.md is up to date.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NoError(t, "read the page", err)
	assert.Equal(t, "page is up to date (make docs)", string(data) == settings.Markdown(), true)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("Peers: {Keys: [[[["))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := settings.Defaults()
		if settings.Decode(data, &s) == nil {
			_ = s.Check()
		}
	})
}
