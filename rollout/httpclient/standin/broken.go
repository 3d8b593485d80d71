package standin

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// brokenHeads returns variants of a whole response whose heads are invalid. A length that is
// stated by an invalid field leaves the response without one.
func brokenHeads(whole string) map[string]string {
	status := strings.Index(whole, " ") + 1
	head, body, _ := strings.Cut(whole, "\r\n\r\n")
	with := func(line string) string { return head + "\r\n" + line + "\r\n\r\n" + body }
	return map[string]string{
		"the status 000":                       whole[:status] + "000" + whole[status+len("000"):],
		"the status 999":                       whole[:status] + "999" + whole[status+len("999"):],
		"a blank within a name":                with("X Load: 1"),
		"a blank after a name":                 with("X-Load : 1"),
		"a blank before a name":                with("X-Other: 1\r\n X-Load: 1"),
		"a control byte within a name":         with("X-\x01Load: 1"),
		"a tab after a name":                   with("X-Load\t: 1"),
		"a blank after the name of the length": strings.Replace(whole, "Content-Length:", "Content-Length :", 1),
	}
}

// CheckBrokenHeads checks that a call fails with the verdict MayHaveRun if the head of its
// response is broken, and succeeds if the response is whole, which has to state its length.
func CheckBrokenHeads(t *testing.T, whole string, call func(t *testing.T, address string) error) {
	t.Run("a whole response", func(t *testing.T) { assert.NoError(t, "call", call(t, Respond(t, whole))) })
	for name, response := range brokenHeads(whole) {
		t.Run(name, func(t *testing.T) { assertMayHaveRun(t, call(t, Respond(t, response))) })
	}
}

// CheckUploads checks that a call with a long body fails with the verdict MayHaveRun if its
// server resets the connection after an early response without a length, and succeeds if the
// server ends the same response. The head has no empty line at its end.
func CheckUploads(t *testing.T, head, body string, call func(t *testing.T, address string, upload []byte) error) {
	upload := bytes.Repeat([]byte{'u'}, UploadBytes)
	s := EarlyServer{Response: head + "\r\n\r\n" + body, Ending: ReadOn}
	t.Run("a response that ends early", func(t *testing.T) { assert.NoError(t, "call", call(t, s.Start(t), upload)) })
	s.Ending = Reset
	for _, s.Delay = range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond} {
		t.Run("a response that is reset after "+s.Delay.String(), func(t *testing.T) { assertMayHaveRun(t, call(t, s.Start(t), upload)) })
	}
}

func assertMayHaveRun(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		t.Error("got a response, want an error")
		return
	}
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
}
