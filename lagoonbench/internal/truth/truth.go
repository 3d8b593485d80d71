// Package truth defines text that proves where it came from. The engine
// stand-in writes every token so that a reader can tell the prompt, the
// generation, the position, the length and the weight version, without asking
// anyone; reports compare lagoonlink's claims with it.
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

// Origin is what every token of one generation has in common.
type Origin struct {
	// Prompt is a hash of the prompt.
	Prompt uint64
	// Nonce tells generations of the same prompt apart; a continuation keeps it.
	Nonce uint64
	// Length is how many tokens the whole generation has.
	Length int
}

// HashPrompt returns the hash of a prompt as tokens carry it.
func HashPrompt(prompt string) uint64 { return xxh3.HashString(prompt) }

// Token returns the text of one token.
func Token(o Origin, position int, v rollout.WeightVersion) string {
	return strconv.FormatUint(o.Prompt, 36) + "." + strconv.FormatUint(o.Nonce, 36) + ":" +
		strconv.Itoa(position) + "/" + strconv.Itoa(o.Length) + ":v" + strconv.FormatUint(uint64(v), 10) + " "
}

// Text is what a reader finds in generated text.
type Text struct {
	Origin   Origin
	Tokens   int
	Versions []rollout.WeightVersion
}

// Whole reports whether the text is complete.
func (t Text) Whole() bool { return t.Tokens == t.Origin.Length }

// Parse reads generated text and checks that its tokens follow each other.
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

var errToken = errors.New("the text holds something that is not a token")

func parseToken(word string) (o Origin, position int, v rollout.WeightVersion, err error) {
	parts := strings.Split(word, ":")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "v") {
		return o, 0, 0, fmt.Errorf("%w: %q", errToken, word)
	}
	prompt, nonce, ok1 := strings.Cut(parts[0], ".")
	at, length, ok2 := strings.Cut(parts[1], "/")
	if !ok1 || !ok2 {
		return o, 0, 0, fmt.Errorf("%w: %q", errToken, word)
	}
	var errs [5]error
	o.Prompt, errs[0] = strconv.ParseUint(prompt, 36, 64)
	o.Nonce, errs[1] = strconv.ParseUint(nonce, 36, 64)
	position, errs[2] = strconv.Atoi(at)
	o.Length, errs[3] = strconv.Atoi(length)
	version, err := strconv.ParseUint(parts[2][1:], 10, 64)
	errs[4] = err
	return o, position, rollout.WeightVersion(version), errors.Join(errs[:]...)
}
