package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words is the vocabulary of the answers.
var words = []string{
	"bracket", "cable", "chain", "clamp", "club", "court", "crank", "draw",
	"fork", "frame", "gear", "grass", "green", "grip", "hedge", "hub",
	"jersey", "lawn", "lever", "match", "mower", "order", "pedal", "pitch",
	"rota", "saddle", "shift", "spoke", "stripe", "swap", "team", "wheel",
}

// DefaultTokens is the mean length of an answer in tokens.
const DefaultTokens = 64

// Tokens returns the tokens of the answer to a prompt, which depend only on the
// arguments, so that clients can verify whole answers. Their number lies
// between half of and one and a half times mean, and is at most limit if that
// is not zero. A mean of zero means DefaultTokens.
func Tokens(model, prompt string, mean, limit int) []string {
	if mean <= 0 {
		mean = DefaultTokens
	}
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	n := max(1, mean/2+int(seed%uint64(mean)))
	if limit > 0 {
		n = min(n, limit)
	}
	tokens := make([]string, n)
	for i := range tokens {
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = words[seed>>59] + strconv.FormatUint(seed>>40&0xf, 16) + " "
	}

	return tokens
}

// Text returns the complete answer to a prompt.
func Text(model, prompt string, mean, limit int) string {
	return strings.Join(Tokens(model, prompt, mean, limit), "")
}
