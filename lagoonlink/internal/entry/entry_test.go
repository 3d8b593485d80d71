package entry

import (
	"strings"
	"testing"

	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/engine"
)

func TestBadCompletions(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"empty", "", "not a completion request"},
		{"truncated", `{"model":"m"`, "not a completion request"},
		{"a wrong type", `{"model":1}`, "not a completion request"},
		{"hostile nesting", strings.Repeat("[", 100000), "not a completion request"},
		{"no model", `{"prompt":"p"}`, "model"},
		{"negative tokens", `{"model":"m","max_tokens":-1}`, "max_tokens: got -1"},
		{"too many tokens", `{"model":"m","max_tokens":99999999}`, "max_tokens"},
		{"a long prompt", `{"model":"m","prompt":"` + strings.Repeat("x", rollout.MaxPromptBytes+1) + `"}`, "prompt"},
		{"a forged continuation", `{"model":"m","prior":"x"}`, "set by entry VMs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeCompletion([]byte(c.body))
			assert.ErrorHas(t, "decode", err, c.want)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
		})
	}
}

func TestAdmission(t *testing.T) {
	v := &inforce.View{Configuration: rollout.Configuration{
		Pools:    []rollout.Pool{{Name: "assistant", Models: []rollout.ModelName{"m"}}},
		Services: []rollout.Service{{Name: "booking"}},
	}}
	may := rollout.Caller{Name: "pages", Pools: []rollout.PoolName{"assistant"}, Services: []rollout.ServiceName{"booking"}}
	for _, c := range []struct {
		name   string
		caller rollout.Caller
		model  string
		want   rollout.Reason
	}{
		{"an unknown model", may, "x", rollout.ReasonUnknownTarget},
		{"a pool that is not the caller's", rollout.Caller{}, "m", rollout.ReasonUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := admitCompletion(c.caller, engine.CompletionRequest{Model: c.model}, v)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, c.want)
		})
	}
	t.Run("a service that is not the caller's", func(t *testing.T) {
		_, err := admitCall(rollout.Caller{}, "booking", v)
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonUnauthorized)
	})
	t.Run("allowed", func(t *testing.T) {
		_, err := admitCall(may, "booking", v)
		assert.NoError(t, "admit", err)
	})
}

// TestEveryReasonHasAStatus keeps problem documents in the range of refusals.
func TestEveryReasonHasAStatus(t *testing.T) {
	for _, r := range []rollout.Reason{
		rollout.ReasonBadRequest, rollout.ReasonUnauthorized, rollout.ReasonUnknownTarget, rollout.ReasonOverloaded, rollout.ReasonDeadline,
		rollout.ReasonDraining, rollout.ReasonServerFailed, rollout.ReasonSuspect, rollout.ReasonIdentityUnknown, rollout.ReasonInternal,
	} {
		status := statusOf(r)
		assert.True(t, string(r)+" is an error", status >= 400 && status < 600)
	}
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5}`))
	f.Add([]byte(`{"model":{"a":[[[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := decodeCompletion(body); err == nil && (r.Model == "" || r.MaxTokens < 1) {
			t.Errorf("got %+v, want a model and tokens", r)
		}
	})
}
