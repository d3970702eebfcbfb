package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// The codes of outcomes in addition to those of the nodes.
const (
	codeConnectionLost = "connection_lost"
	codeOpenAtEnd      = "open_at_end"
)

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 1 << 20

// runNotRun is the statement of a node that a request certainly did not run.
const runNotRun = "not-run"

// outcome is the result of a call as its caller observed it.
type outcome struct {
	call *call
	// runStatement is the node's statement of whether the request ran.
	runStatement string
	// code is the reason why there is no complete answer, or empty.
	code string
	text string
	// firstToken is the time to the first token or to the plain answer, and
	// tokenInterval the mean time between tokens.
	firstToken    time.Duration
	tokenInterval time.Duration
	tokens        int
}

// isWrong reports whether the received data differs from the expected answer. A
// stream that was cut off must be a prefix of the answer.
func (o *outcome) isWrong() bool {
	if o.code == "" {
		return o.text != o.call.want
	}

	return o.call.isModel && !strings.HasPrefix(o.call.want, o.text)
}

// meetsTargets reports whether the answer is complete and met the latency
// targets of its class.
func (o *outcome) meetsTargets() bool {
	c := o.call.class

	return o.code == "" && o.firstToken <= c.FirstToken && (c.Gap == 0 || o.tokenInterval <= c.Gap)
}

// send sends a call to a node and reads the answer.
func send(ctx context.Context, client *http.Client, base string, c *call) *outcome {
	o := &outcome{call: c, code: codeConnectionLost}
	defer func() {
		if o.code == codeConnectionLost && ctx.Err() != nil {
			o.code = codeOpenAtEnd
		}
	}()
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, strings.NewReader(c.body))
	if err != nil {
		return o
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if !c.deadline.IsZero() {
		req.Header.Set("Snipedyke-Batch-Deadline", c.deadline.UTC().Format(time.RFC3339Nano))
	}
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return o
	}
	defer func() { _ = res.Body.Close() }()
	o.runStatement = res.Header.Get("Snipedyke-Run")
	if c.isModel && res.StatusCode == http.StatusOK {
		o.readStream(io.LimitReader(res.Body, maxAnswerBytes), start)

		return o
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return o
	}
	o.firstToken = time.Since(start)
	if res.StatusCode == http.StatusOK {
		o.code, o.text = "", string(body)
	} else {
		o.setError(body)
	}

	return o
}

// setError sets the code and the run statement to those of an error body.
func (o *outcome) setError(body []byte) {
	var problem struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &problem) == nil && problem.Error.Code != "" {
		o.code, o.runStatement = problem.Error.Code, problem.Error.Run
	}
}

// readStream reads server-sent events up to the terminal event.
func (o *outcome) readStream(r io.Reader, start time.Time) {
	var text strings.Builder
	var last time.Time
	defer func() {
		o.text = text.String()
		if o.tokens > 1 {
			o.tokenInterval = (last.Sub(start) - o.firstToken) / time.Duration(o.tokens-1)
		}
	}()
	failed := false
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if scanner.Text() == "event: error" {
			failed = true

			continue
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if failed {
			o.setError([]byte(data))

			return
		}
		if data == "[DONE]" {
			o.code = ""

			return
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		last = time.Now()
		if o.tokens++; o.tokens == 1 {
			o.firstToken = last.Sub(start)
		}
		text.WriteString(event.Choices[0].Delta.Content)
	}
}

// issueKey requests an idempotency key from a node.
func issueKey(ctx context.Context, client *http.Client, base, token string) (string, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/idempotency-keys", nil)
	if err != nil {
		return "", false
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&answer) != nil || len(answer.Keys) == 0 {
		return "", false
	}

	return answer.Keys[0], true
}
