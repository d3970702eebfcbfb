package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const (
	// coldFirstTokenFactor multiplies the time to the first token of a cold
	// engine, in addition to coldSlowdown.
	coldFirstTokenFactor = 3
	// prefixBytes is the length of the start of a prompt that the simulated
	// prefix cache compares, and maxPrefixes the number of prefixes that it
	// holds.
	prefixBytes = 256
	maxPrefixes = 64
	// cachedFirstTokenFactor multiplies the time to the first token of a prompt
	// whose prefix is cached.
	cachedFirstTokenFactor = 0.5
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	Name string
	Capacity
	// FirstToken is the time to the first token, and TokenInterval the time
	// between two tokens, of a warm engine.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// MeanTokens is the mean length of an answer in tokens; zero means
	// DefaultTokens.
	MeanTokens int
	// Resumes reports whether the engine resumes streams.
	Resumes bool
	// Poison is a word that crashes the engine if a prompt contains it, or
	// empty.
	Poison string
	// Loaded lists the models and adapters that are loaded at the start.
	// ChecksFence reports whether the engine rejects orders with an old fencing
	// number.
	Loaded      []string
	ChecksFence bool
	// DownloadTime is the time that loading a model takes.
	DownloadTime time.Duration
	// RunLog is the log to which runs are added; nil means a new one.
	RunLog *RunLog
}

// Engine is a stand-in of a model engine.
type Engine struct {
	*backend
	opts EngineOptions

	mu           sync.Mutex
	resumes      bool
	poison       string
	prefixes     []uint64
	loaded       []string
	highestFence uint64
}

// NewEngine returns an engine. It does not listen yet.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{opts: opts, resumes: opts.Resumes, poison: opts.Poison, loaded: slices.Clone(opts.Loaded)}
	e.backend = newBackend(opts.Capacity, opts.RunLog, e.handle)

	return e
}

// Start listens on the address; port 0 takes a free port.
func (e *Engine) Start(addr netip.AddrPort) error { return e.server.start(addr) }

// Control applies a control to the engine.
func (e *Engine) Control(c Control) {
	e.mu.Lock()
	if c.Poison != nil {
		e.poison = *c.Poison
	}
	if c.Resume != nil {
		e.resumes = *c.Resume
	}
	e.mu.Unlock()
	e.applyControl(c)
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		e.serveCompletion(ctx)
	case "/orders":
		e.serveOrder(ctx)
	case "/load":
		load := e.reportedLoad()
		load.Loaded = e.loadedNames()
		writeJSON(ctx, fasthttp.StatusOK, load)
	default:
		e.serveCommon(ctx, e.Control)
	}
}

// completionRequest holds the request fields that engines read.
type completionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// prompt returns the contents of all messages, each followed by a newline. The
// tokens of the answer depend on it.
func (c *completionRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}

	return b.String()
}

func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var c completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil || len(c.Messages) == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")

		return
	}
	conn := ctx.Conn()
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(PriorityHeader)))
	granted, refused := e.admit(priority, conn)
	if refused != "" {
		writeRefusal(ctx, refused)

		return
	}
	r := &completionRun{
		engine: e, slot: granted, conn: conn, model: c.Model,
		tokens:     Tokens(c.Model, c.prompt(), e.opts.MeanTokens, c.MaxTokens),
		firstToken: e.firstToken(c.prompt()),
		id:         "chatcmpl-" + strconv.FormatUint(xxhash.Sum64(ctx.PostBody()), 16),
	}
	r.finishReason = "stop"
	if len(r.tokens) == c.MaxTokens {
		r.finishReason = "length"
	}
	e.mu.Lock()
	if skip, err := strconv.Atoi(string(ctx.Request.Header.Peek(ResumeHeader))); err == nil && e.resumes {
		r.skipped = min(max(skip, 0), len(r.tokens))
	}
	r.poisoned = e.poison != "" && strings.Contains(c.prompt(), e.poison)
	e.mu.Unlock()
	r.dropped = e.takeDrop()
	r.runIndex = e.runLog.begin(Run{
		Request: string(ctx.Request.Header.Peek(RequestHeader)), Key: string(ctx.Request.Header.Peek(KeyHeader)),
		Endpoint: e.opts.Name, Path: string(ctx.Path()), Start: time.Now(), Priority: priority, Skipped: r.skipped,
	})
	if !c.Stream {
		r.writeResponse(ctx)

		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(r.writeStream)
}

// firstToken returns the time to the first token before the slowdown is
// applied.
func (e *Engine) firstToken(prompt string) time.Duration {
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
	factor := 1.0
	e.mu.Lock()
	for i, p := range e.prefixes {
		if p == prefix {
			factor = cachedFirstTokenFactor
			e.prefixes = append(e.prefixes[:i], e.prefixes[i+1:]...)

			break
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	e.mu.Unlock()
	if e.reportedLoad().Cold {
		factor *= coldFirstTokenFactor
	}

	return time.Duration(float64(e.opts.FirstToken) * factor)
}

// completionRun is the run of a completion request at an engine.
type completionRun struct {
	engine       *Engine
	slot         slot
	conn         net.Conn
	id           string
	model        string
	tokens       []string
	skipped      int
	firstToken   time.Duration
	finishReason string
	poisoned     bool
	dropped      bool
	runIndex     int
}

// generate produces the tokens and calls send for each. It frees the slot and
// records the end of the run.
func (r *completionRun) generate(send func(token string) error) Outcome {
	outcome := r.produceTokens(send)
	r.engine.release(r.slot, outcome == Completed)

	return outcome
}

func (r *completionRun) produceTokens(send func(token string) error) (outcome Outcome) {
	produced := 0
	defer func() { r.engine.runLog.end(r.runIndex, produced, outcome) }()
	end := len(r.tokens)
	if r.dropped {
		end = r.skipped + (end-r.skipped)/2
	}
	for i := r.skipped; i < end; i++ {
		wait := r.engine.opts.TokenInterval
		if i == r.skipped {
			wait = r.firstToken
		}
		if o := r.engine.simulateWork(r.slot, wait, r.conn); o != Completed {
			return o
		}
		if r.poisoned {
			r.engine.crash(r.engine.capacity.Restart)

			return Crashed
		}
		produced++
		if send(r.tokens[i]) != nil {
			return r.engine.cutOutcome(r.slot)
		}
	}
	if r.dropped {
		return Dropped
	}

	return Completed
}

// usage is the token count of a completion response.
type usage struct {
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// message is the text of a choice, or of a part of it in a stream.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Reason  *string  `json:"finish_reason"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *completionRun) usage() *usage {
	return &usage{Completion: len(r.tokens), Total: len(r.tokens)}
}

// writeResponse answers without streaming.
func (r *completionRun) writeResponse(ctx *fasthttp.RequestCtx) {
	if r.generate(func(string) error { return nil }) != Completed {
		ctx.SetConnectionClose()
		r.closeConn()

		return
	}
	r.engine.delayResponse()
	text := strings.Join(r.tokens[r.skipped:], "")
	writeJSON(ctx, fasthttp.StatusOK, completionResponse{
		ID: r.id, Object: "chat.completion", Model: r.model, Usage: r.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, Reason: &r.finishReason}},
	})
}

// closeConn closes the connection, so that the client receives an incomplete
// answer.
func (r *completionRun) closeConn() { _ = r.conn.Close() }

// writeStream answers with server-sent events.
func (r *completionRun) writeStream(w *bufio.Writer) {
	r.engine.delayResponse()
	outcome := r.generate(func(token string) error {
		return r.writeEvent(w, choice{Delta: &message{Content: token}}, nil)
	})
	if outcome != Completed {
		r.closeConn()

		return
	}
	if r.writeEvent(w, choice{Delta: &message{}, Reason: &r.finishReason}, r.usage()) != nil {
		return
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeEvent writes one server-sent event.
func (r *completionRun) writeEvent(w *bufio.Writer, c choice, u *usage) error {
	data, err := json.Marshal(completionResponse{ID: r.id, Object: "chat.completion.chunk", Model: r.model, Choices: []choice{c}, Usage: u})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}

	return w.Flush()
}
