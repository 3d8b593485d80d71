package entry

import (
	"strings"
	"testing"

	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/engine"
)

func TestDecodeInvalidCompletion(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"empty", "", "not a completion request"},
		{"truncated", `{"model":"m"`, "not a completion request"},
		{"wrong field type", `{"model":1}`, "not a completion request"},
		{"excessive nesting", strings.Repeat("[", 100000), "not a completion request"},
		{"missing model", `{"prompt":"p"}`, "model"},
		{"negative max_tokens", `{"model":"m","max_tokens":-1}`, "max_tokens: got -1"},
		{"max_tokens above the limit", `{"model":"m","max_tokens":99999999}`, "max_tokens"},
		{"prompt above the limit", `{"model":"m","prompt":"` + strings.Repeat("x", rollout.MaxPromptBytes+1) + `"}`, "prompt"},
		{"continuation fields set by the caller", `{"model":"m","prior":"x"}`, "set by entry VMs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeCompletion([]byte(c.body))
			assert.ErrorContains(t, "decode", err, c.want)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
		})
	}
}

func TestAdmission(t *testing.T) {
	v := &inforce.View{Configuration: rollout.Configuration{
		Pools:    []rollout.Pool{{Name: "assistant", Models: []rollout.ModelName{"m"}}},
		Services: []rollout.Service{{Name: "booking"}},
	}}
	caller := rollout.Caller{Name: "pages", Pools: []rollout.PoolName{"assistant"}, Services: []rollout.ServiceName{"booking"}}
	for _, c := range []struct {
		name   string
		caller rollout.Caller
		model  string
		want   rollout.Reason
	}{
		{"unknown model", caller, "x", rollout.ReasonUnknownTarget},
		{"pool not permitted for the caller", rollout.Caller{}, "m", rollout.ReasonUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := admitCompletion(c.caller, engine.CompletionRequest{Model: c.model}, v)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, c.want)
		})
	}
	t.Run("service not permitted for the caller", func(t *testing.T) {
		_, err := admitCall(rollout.Caller{}, "booking", v)
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonUnauthorized)
	})
	t.Run("service permitted for the caller", func(t *testing.T) {
		_, err := admitCall(caller, "booking", v)
		assert.NoError(t, "admit", err)
	})
}

// TestStatusOfReasons guards against reasons that map to an HTTP status outside
// the range of errors.
func TestStatusOfReasons(t *testing.T) {
	for _, r := range []rollout.Reason{
		rollout.ReasonBadRequest, rollout.ReasonUnauthorized, rollout.ReasonUnknownTarget, rollout.ReasonOverloaded, rollout.ReasonDeadline,
		rollout.ReasonDraining, rollout.ReasonServerFailed, rollout.ReasonSuspect, rollout.ReasonIdentityUnknown, rollout.ReasonInternal,
	} {
		status := httpStatus(r)
		assert.True(t, string(r)+" has an error status", status >= 400 && status < 600)
	}
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5}`))
	f.Add([]byte(`{"model":{"a":[[[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := decodeCompletion(body); err == nil && (r.Model == "" || r.MaxTokens < 1) {
			t.Errorf("got %+v, want a model name and max_tokens of at least 1", r)
		}
	})
}
