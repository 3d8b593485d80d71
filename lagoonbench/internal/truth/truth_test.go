package truth_test

import (
	"strings"
	"testing"

	"lagoonlink.org/lagoonbench/internal/truth"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

func text(versions ...rollout.WeightVersion) string {
	o := truth.Origin{Prompt: truth.HashPrompt("p"), Nonce: 7, Length: len(versions)}
	var b strings.Builder
	for i, v := range versions {
		b.WriteString(truth.Token(o, i, v))
	}
	return b.String()
}

// TestParse checks that Parse detects missing, repeated, reordered and foreign
// tokens. An undetected fault would hide broken promises in every report.
func TestParse(t *testing.T) {
	complete := text(1, 1, 2)
	words := strings.SplitAfter(complete, " ")
	other := text(3, 3, 3)
	t.Run("complete", func(t *testing.T) {
		got, err := truth.Parse(complete)
		assert.NoError(t, "parse", err)
		assert.True(t, "the text is complete", got.Complete())
		assert.Equal(t, "versions", got.Versions, []rollout.WeightVersion{1, 2})
	})
	t.Run("truncated", func(t *testing.T) {
		got, err := truth.Parse(words[0] + words[1])
		assert.NoError(t, "parse", err)
		assert.Equal(t, "complete", got.Complete(), false)
	})
	foreign := truth.Token(truth.Origin{Prompt: 1, Nonce: 8, Length: 3}, 1, 1)
	for _, c := range []struct{ name, text string }{
		{"missing token", words[0] + words[2]},
		{"duplicate token", words[0] + words[0]},
		{"token of another generation", words[0] + foreign},
		{"out of order", words[1] + words[0]},
		{"garbage", words[0] + "hello "},
		{"concatenated texts", complete + other},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := truth.Parse(c.text)
			assert.True(t, "there is an error", err != nil)
		})
	}
}
