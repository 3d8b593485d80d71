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

// TestFaultsAreSeen checks that the measure itself notices what it is for.
func TestFaultsAreSeen(t *testing.T) {
	whole := text(1, 1, 2)
	words := strings.SplitAfter(whole, " ")
	other := text(3, 3, 3)
	t.Run("whole", func(t *testing.T) {
		got, err := truth.Parse(whole)
		assert.NoError(t, "parse", err)
		assert.True(t, "it is whole", got.Whole())
		assert.Equal(t, "versions", got.Versions, []rollout.WeightVersion{1, 2})
	})
	t.Run("cut", func(t *testing.T) {
		got, err := truth.Parse(words[0] + words[1])
		assert.NoError(t, "parse", err)
		assert.Equal(t, "whole", got.Whole(), false)
	})
	foreign := truth.Token(truth.Origin{Prompt: 1, Nonce: 8, Length: 3}, 1, 1)
	for _, c := range []struct{ name, text string }{
		{"a token missing", words[0] + words[2]},
		{"a token twice", words[0] + words[0]},
		{"a token of another generation", words[0] + foreign},
		{"out of order", words[1] + words[0]},
		{"garbage", words[0] + "hello "},
		{"two texts", whole + other},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := truth.Parse(c.text)
			assert.True(t, "there is an error", err != nil)
		})
	}
}
