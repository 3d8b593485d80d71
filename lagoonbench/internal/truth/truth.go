// Package truth defines the text that engine stand-ins generate. Each token
// encodes the prompt, the generation, its position, the length of the generation
// and the weight version, so that the bench can verify a text, and what lagoonlink
// reports about it, from the text alone.
package truth

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// Origin holds what all tokens of a generation have in common.
type Origin struct {
	// Prompt is the hash of the prompt; see HashPrompt.
	Prompt uint64
	// Nonce distinguishes generations for the same prompt. The continuation of a
	// generation keeps it.
	Nonce uint64
	// Length is the number of tokens of the complete generation.
	Length int
}

// HashPrompt returns the hash of a prompt that its tokens contain.
func HashPrompt(prompt string) uint64 { return xxh3.HashString(prompt) }

// Token returns the text of the token at a position of a generation, with a
// trailing space.
func Token(o Origin, position int, v rollout.WeightVersion) string {
	return strconv.FormatUint(o.Prompt, 36) + "." + strconv.FormatUint(o.Nonce, 36) + ":" +
		strconv.Itoa(position) + "/" + strconv.Itoa(o.Length) + ":v" + strconv.FormatUint(uint64(v), 10) + " "
}

// Text is the parsed form of generated text.
type Text struct {
	Origin Origin
	// Tokens is the number of tokens in the text.
	Tokens int
	// Versions are the weight versions of the tokens, ascending and unique.
	Versions []rollout.WeightVersion
}

// Complete reports whether the text has all tokens of its generation.
func (t Text) Complete() bool { return t.Tokens == t.Origin.Length }

// Parse parses generated text. It returns an error if a token is malformed or does
// not directly follow the previous token of the same generation.
func Parse(text string) (Text, error) {
	var t Text
	for word := range strings.FieldsSeq(text) {
		o, position, v, err := parseToken(word)
		if err != nil {
			return t, err
		}
		if t.Tokens == 0 {
			t.Origin = o
		}
		if o != t.Origin || position != t.Tokens {
			return t, fmt.Errorf("token %d of %+v follows %d tokens of %+v", position, o, t.Tokens, t.Origin)
		}
		t.Tokens++
		if !slices.Contains(t.Versions, v) {
			t.Versions = append(t.Versions, v)
		}
	}
	slices.Sort(t.Versions)
	return t, nil
}

var errMalformedToken = errors.New("malformed token")

func parseToken(word string) (o Origin, position int, v rollout.WeightVersion, err error) {
	parts := strings.Split(word, ":")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "v") {
		return o, 0, 0, fmt.Errorf("%w: %q", errMalformedToken, word)
	}
	prompt, nonce, ok1 := strings.Cut(parts[0], ".")
	pos, length, ok2 := strings.Cut(parts[1], "/")
	if !ok1 || !ok2 {
		return o, 0, 0, fmt.Errorf("%w: %q", errMalformedToken, word)
	}
	var errs [5]error
	o.Prompt, errs[0] = strconv.ParseUint(prompt, 36, 64)
	o.Nonce, errs[1] = strconv.ParseUint(nonce, 36, 64)
	position, errs[2] = strconv.Atoi(pos)
	o.Length, errs[3] = strconv.Atoi(length)
	version, err := strconv.ParseUint(parts[2][1:], 10, 64)
	errs[4] = err
	return o, position, rollout.WeightVersion(version), errors.Join(errs[:]...)
}
