package cmd

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"lagoonlink.org/rollout/assert"
)

// TestCheckPlatform guards against an exit code or output that a script misreads, and
// against keys in the output.
func TestCheckPlatform(t *testing.T) {
	const inForce, next, faulty = "testdata/in-force.json", "testdata/next.json", "testdata/faulty.json"
	for name, c := range map[string]struct {
		arguments []string
		in        string
		code      int
		want      string
	}{
		"sound":                       {[]string{inForce}, "", 0, "no findings\n"},
		"from standard input":         {[]string{"-"}, `{"version":1}`, 0, "no findings\n"},
		"only warnings":               {[]string{"-"}, `{"version":1,"x":2}`, 0, "Warning: x: line 1: unknown field"},
		"faulty":                      {[]string{faulty}, "", 1, `Error: routes[0].split[0].service: service "replys" isn't declared`},
		"refused by a VM":             {[]string{"-"}, `{"version":"1"}`, 1, "Error: version: line 1: got JSON type string"},
		"compared":                    {[]string{next, "--against", inForce}, "", 0, "  Moved: route \"chat\" (huka.example/chat/): split replies -> fast\n"},
		"keys compared":               {[]string{"--against", inForce, next}, "", 0, " 2 -> 2\n    1 added, 1 removed;"},
		"a version that isn't newer":  {[]string{"--against", next, inForce}, "", 1, "Error: version: got version 7, expected one over 8"},
		"refused and compared":        {[]string{"--against", inForce, "-"}, `[]`, 1, "Error: document: line 1: got JSON type array"},
		"compared in JSON":            {[]string{"--json", "--against", inForce, next}, "", 0, `"Entry": "route \"search\" (huka.example/search/)"`},
		"not JSON":                    {[]string{"-"}, `secret-a1`, 2, ""},
		"no such file":                {[]string{"testdata/missing.json"}, "", 2, ""},
		"no such file in force":       {[]string{next, "--against", "testdata/missing.json"}, "", 2, ""},
		"compared with a refused one": {[]string{next, "--against", "-"}, `[]`, 2, ""},
		"no file":                     {nil, "", 2, ""},
		"two files":                   {[]string{inForce, next}, "", 2, ""},
		"an unknown flag":             {[]string{"--strict", inForce}, "", 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(append([]string{"lagoonlink", "check-platform"}, c.arguments...), strings.NewReader(c.in), &out, &errOut)
			assert.Equal(t, "exit code", code, c.code)
			assert.True(t, "output contains "+c.want+", got "+out.String(), strings.Contains(out.String(), c.want))
			assert.Equal(t, "message on standard error", errOut.Len() > 0, code != 0)
			assert.True(t, "no key", !strings.Contains(out.String()+errOut.String(), "secret"))
		})
	}
	var out bytes.Buffer
	assert.Equal(t, "exit code", run([]string{"lagoonlink", "check-platform", "--json", faulty}, nil, &out, &out), 1)
	var report reviewReport
	assert.NoError(t, "decode the output", json.NewDecoder(&out).Decode(&report))
	assert.Equal(t, "findings", len(report.Findings), 7)
	assert.True(t, "no comparison", report.Comparison == nil)
}
