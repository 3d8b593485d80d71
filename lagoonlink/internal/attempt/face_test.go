package attempt_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/entry"
	"lagoonlink.org/lagoonlink/internal/holder"
	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/trainer"
	"lagoonlink.org/rollout/wire"
)

// token is that of the caller and of the trainer.
const token = "token"

// onlyVM is the membership of a VM that holds all steps itself.
type onlyVM struct{ view *membership.View }

func (p onlyVM) Roster() membership.Roster    { return p.view.Roster() }
func (p onlyVM) Members() []membership.Member { return nil }
func (p onlyVM) Call(context.Context, string, wire.Body) (wire.Body, error) {
	return wire.Body{}, errors.ErrUnsupported
}

// startFace serves callers and trainers at the VM and returns the address.
func (v *vm) startFace(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	address := l.Addr().String()
	assert.NoError(t, "close", l.Close())
	h := holder.New(holder.Config{VM: v.name, QueueSize: 64, StepIdle: time.Minute, InForce: v.inForce, Attempts: v.maker, Logger: v.site.logger, Metrics: tally.NoopScope})
	e := entry.New(entry.Config{
		VM: v.name, Address: address, MaxBodyBytes: 1 << 20, RequestTimeout: 5 * time.Second, InForce: v.inForce, Attempts: v.maker, Holder: h,
		Peers:      onlyVM{membership.New(membership.Config{Self: v.name, Zone: "z", Address: "127.0.0.1:1", Timing: membership.DefaultTiming()})},
		Identities: identity.New(v.name, 1), Logger: v.site.logger, Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = h.Run(ctx) }()
	go func() { _ = e.Run(ctx) }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			assert.NoError(t, "close", c.Close())
			return address
		}
		if time.Now().After(end) {
			t.Fatal("the VM doesn't listen")
		}
	}
}

// send sends a request to a VM and returns the status and the body of the response.
func send(t *testing.T, address, method, path, body string, header ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	assert.NoError(t, "new request", err)
	r.Header.Set("Authorization", "Bearer "+token)
	for n := 0; n < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	response, err := http.DefaultClient.Do(r)
	assert.NoError(t, method+" "+path, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NoError(t, "read", err)
	return response.StatusCode, string(data)
}

// TestCallersAndTrainersOfIsolatedVMs guards against parts of the own face that an isolated VM
// doesn't serve, or serves twice.
func TestCallersAndTrainersOfIsolatedVMs(t *testing.T) {
	s := newSite()
	a := s.startVM(t, "a", 1)
	s.startVM(t, "b", 1)
	address := a.startFace(t)
	a.isolate(t, refused)
	t.Run("completion", func(t *testing.T) {
		status, body := send(t, address, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"b"}`)
		assert.Equal(t, "status", status, http.StatusOK)
		assert.True(t, body, strings.Contains(body, `"text":"b1b2b3"`) && strings.Contains(body, `"weight_versions":[1,2,3]`))
	})
	t.Run("streamed completion", func(t *testing.T) {
		status, body := send(t, address, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"b","stream":true}`)
		assert.Equal(t, "status", status, http.StatusOK)
		assert.Equal(t, "events", strings.Count(body, "data: "), 4)
		assert.True(t, "ends as complete", strings.HasSuffix(body, "data: [DONE]\n\n"))
	})
	t.Run("call", func(t *testing.T) {
		status, body := send(t, address, http.MethodPut, "/services/s/x?y=1", "body")
		assert.Equal(t, "response", fmt.Sprint(status, body), "201PUT/x?y=1body")
	})
	t.Run("call with an identity, sent twice", func(t *testing.T) {
		_, issued := send(t, address, http.MethodPost, "/v1/identities", "")
		var id struct{ Identity string }
		assert.NoError(t, "decode", json.Unmarshal([]byte(issued), &id))
		before := s.totalRuns()
		for range 2 {
			status, body := send(t, address, http.MethodPost, "/services/s/once", "body", "Lagoonlink-Identity", id.Identity)
			assert.Equal(t, "response", fmt.Sprint(status, body), "201POST/oncebody")
		}
		assert.Equal(t, "runs", s.totalRuns()-before, 1)
	})
	t.Run("step", func(t *testing.T) {
		status, body := send(t, address, http.MethodPut, "/v1/trainers/t/steps/1", `{"Groups":[{"Prompt":"b","Samples":4,"MaxTokens":9}]}`)
		assert.Equal(t, body, status, http.StatusOK)
		pull := trainer.PullRequest{Held: rollout.NewHeld(4), Current: 3, Max: 4, WaitMilliseconds: 1000}
		samples := 0
		for complete := false; !complete && pull.Number < 20; {
			pull.Number++
			request, err := json.Marshal(pull)
			assert.NoError(t, "encode", err)
			status, body := send(t, address, http.MethodPost, "/v1/trainers/t/steps/1/pull", string(request))
			assert.Equal(t, body, status, http.StatusOK)
			var pulled rollout.PullResponse
			assert.NoError(t, "decode", json.Unmarshal([]byte(body), &pulled))
			complete = pulled.Complete
			for _, sample := range pulled.Samples {
				samples++
				pull.Held = pull.Held.With(sample.Index)
				assert.Equal(t, "text", sample.Text, "b1b2b3")
				assert.Equal(t, "versions", fmt.Sprint(sample.Versions), "[1 2 3]")
				assert.True(t, "the server is known", sample.Server != "")
			}
		}
		assert.Equal(t, "samples", samples, 4)
	})
}

func (s *site) totalRuns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runs := range s.runs {
		n += runs
	}
	return n
}
