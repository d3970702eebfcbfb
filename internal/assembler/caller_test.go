package assembler

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipedyke/internal/standin"
)

// callResult is the response to a call that is not streamed.
type callResult struct {
	status         int
	runState, body string
}

// post sends a caller's request.
func post(url, token, key, body string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}

	return http.DefaultClient.Do(request)
}

// send sends a caller's request and reads the response.
func send(url, token, key, body string) (callResult, error) {
	response, err := post(url, token, key, body)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)

	return callResult{response.StatusCode, response.Header.Get("Snipedyke-Run"), string(text)}, err
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	prompt string
	text   string
	// errorText is the text after the error event, or the body of a refusal.
	errorText string
	done      bool
	err       error
}

// isComplete reports whether the whole answer was received.
func (s *streamResult) isComplete() bool { return s.done && s.text == expectedText(s.prompt) }

// isTruncated reports whether a prefix of the answer was received, followed by
// an error and without [DONE].
func (s *streamResult) isTruncated() bool {
	return !s.done && s.errorText != "" && strings.HasPrefix(expectedText(s.prompt), s.text)
}

// isRefused reports whether the request was refused and has not run.
func (s *streamResult) isRefused() bool {
	return !s.done && s.text == "" && strings.Contains(s.errorText, `"run":"not-run"`)
}

// refusalPause is the time after which a caller sends a refused request again.
const refusalPause = 50 * time.Millisecond

// expectedText returns the whole answer of the stand-ins to a prompt.
func expectedText(prompt string) string { return standin.Text("draftsmith-7b", prompt+"\n", 0, 0) }

// stream requests a stream and reads it to its end. It calls onFirstToken at the
// first token.
func stream(base, token, prompt string, onFirstToken func()) *streamResult {
	s := &streamResult{prompt: prompt}
	body := `{"model":"draftsmith-7b","stream":true,"messages":[{"role":"user","content":` + strconv.Quote(prompt) + `}]}`
	response, err := post(base+"/v1/chat/completions", token, "", body)
	if err != nil {
		s.err = err

		return s
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	failed := response.StatusCode != http.StatusOK
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case failed:
			s.errorText += lines.Text()
		case data == "[DONE]":
			s.done = true
		case ok:
			var event struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if s.err = json.Unmarshal([]byte(data), &event); s.err != nil || len(event.Choices) == 0 {
				return s
			}
			if s.text == "" {
				onFirstToken()
			}
			s.text += event.Choices[0].Delta.Content
		}
	}
	s.err = lines.Err()

	return s
}
