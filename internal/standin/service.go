package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceOptions describes a plain service.
type ServiceOptions struct {
	Name    string
	Service string
	Capacity
	// CallDuration is the duration of a call on a warm backend.
	CallDuration time.Duration
	// RunLog is the log to which runs are added; nil means a new one.
	RunLog *RunLog
}

// Service is a stand-in of one server of a plain service. It completes each
// call even if the client disconnects, as a payment service would.
type Service struct {
	*backend
	opts ServiceOptions
}

// NewService returns a service that does not listen yet.
func NewService(opts ServiceOptions) *Service {
	s := &Service{opts: opts}
	s.backend = newBackend(opts.Capacity, opts.RunLog, s.handle)

	return s
}

// Start listens on the address; port 0 takes a free port.
func (s *Service) Start(addr netip.AddrPort) error { return s.server.start(addr) }

// Control applies a control to the service.
func (s *Service) Control(c Control) { s.applyControl(c) }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load", "/stats", "/runs", "/control", "/health":
		s.serveCommon(ctx, s.Control)
	default:
		s.serveCall(ctx)
	}
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(PriorityHeader)))
	granted, refused := s.admit(priority, conn)
	if refused != "" {
		writeRefusal(ctx, refused)

		return
	}
	number := s.runLog.begin(Run{
		Request: string(ctx.Request.Header.Peek(RequestHeader)), Key: string(ctx.Request.Header.Peek(KeyHeader)),
		Endpoint: s.opts.Name, Path: string(ctx.Path()), Start: time.Now(), Priority: priority,
	})
	outcome := s.simulateWork(granted, s.opts.CallDuration, nil)
	s.release(granted, outcome == Completed)
	if outcome == Completed && s.takeDrop() {
		outcome = Dropped
	}
	s.runLog.end(number, 0, outcome)
	if outcome != Completed {
		ctx.SetConnectionClose()
		_ = conn.Close()

		return
	}
	s.delayResponse()
	ctx.SetContentType("application/json")
	ctx.SetBody(ServiceAnswer(s.opts.Service, string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody()))
}

// ServiceAnswer returns the response body of a plain service to a call, so that
// clients can verify it. uri is the path with its query.
func ServiceAnswer(service, method, uri string, body []byte) []byte {
	hash := sha256.Sum256(body)
	out, err := json.Marshal(struct {
		Service string `json:"service"`
		Method  string `json:"method"`
		Path    string `json:"path"`
		Echo    string `json:"echo"`
	}{service, method, uri, hex.EncodeToString(hash[:])})
	if err != nil {
		return nil
	}

	return out
}
