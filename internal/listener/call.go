package listener

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/dispatcher"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Call is a validated request that waits for its answer.
type Call struct {
	Request reducer.Request
	Work    *dispatcher.Work
	Caller  Caller
}

// Caller receives the answer to a call. The call ends with exactly one of
// Refuse, Reply and Close; none of them blocks.
type Caller interface {
	dispatcher.Sink
	// Refuse sends an error answer.
	Refuse(p *Problem)
	// Reply sends a complete answer.
	Reply(answer encoder.Answer, run uint8)
	// Close ends a streamed answer. It sends an error event unless reason is
	// empty and the stream is complete.
	Close(reason reducer.Reason)
}

// InboundRequest holds the parts of an HTTP request from which NewCall creates a
// Call. They must not be modified afterwards.
type InboundRequest struct {
	Entry *cataloguer.Entry
	// Service is empty for chat completions.
	Service string
	Method  string
	// Path is the path and query that are sent to the endpoint.
	Path    string
	Headers []encoder.Header
	Key     string
	Body    []byte
	// Deadline is the time left until the deadline, or zero if there is none.
	Deadline time.Duration
}

// ChatPath is the path of chat completions, both on the node and on the engines.
const ChatPath = "/v1/chat/completions"

// prefixHashBytes is the length of the start of the messages that the prefix
// hash covers.
const prefixHashBytes = 1 << 10

// NewCall validates a request against the catalogue. It does not set the caller
// of the call.
func NewCall(c *cataloguer.Catalogue, in InboundRequest) (*Call, *Problem) {
	call := &Call{
		Request: reducer.Request{
			Entry:    in.Entry.Name,
			Service:  in.Service,
			Class:    in.Entry.Class,
			Key:      in.Key,
			Deadline: in.Deadline,
		},
		Work: &dispatcher.Work{Method: in.Method, Path: in.Path, Headers: in.Headers, Body: in.Body},
	}
	var p *Problem
	if in.Service == "" {
		p = call.initChat(c, in)
	} else {
		p = call.initPlain(c, in)
	}
	if p != nil {
		return nil, p
	}
	call.Request.Fingerprint = fingerprint(call.Request.Service, in)

	return call, nil
}

// initChat sets the fields of a chat completions call.
func (call *Call) initChat(c *cataloguer.Catalogue, in InboundRequest) *Problem {
	chat, p := ParseChat(in.Body)
	if p != nil {
		return p
	}
	service, adapter := findModel(c, in.Entry, chat.Model)
	if service == nil {
		return problemf(http.StatusNotFound, CodeUnknownModel, "unknown model %q; GET /v1/models lists the available models", truncate([]byte(chat.Model)))
	}
	r := &call.Request
	r.Service = service.Name
	r.Model, r.Adapter = chat.Model, adapter
	if adapter != "" {
		r.Model = strings.TrimSuffix(chat.Model, ":"+adapter)
	}
	r.Prefix = xxhash.Sum64(chat.Messages[:min(len(chat.Messages), prefixHashBytes)])
	r.Stream, r.Tokens = chat.Stream, chat.MaxTokens
	accept := "application/json"
	if chat.Stream {
		accept = "text/event-stream"
	}
	w := call.Work
	w.Kind, w.Stream = cataloguer.ModelService, chat.Stream
	w.Headers = []encoder.Header{{Name: "Content-Type", Value: "application/json"}, {Name: "Accept", Value: accept}}

	return nil
}

// initPlain sets the fields of a call to a plain service.
func (call *Call) initPlain(c *cataloguer.Catalogue, in InboundRequest) *Problem {
	service := c.Services[in.Service]
	if service == nil || service.Kind != cataloguer.PlainService {
		return problemf(http.StatusNotFound, CodeNotFound, "unknown plain service %q", truncate([]byte(in.Service)))
	}
	if !mayCall(in.Entry, in.Service) {
		return problemf(http.StatusForbidden, CodeForbidden, "the entry %q may not call the service %q", in.Entry.Name, in.Service)
	}
	path, _, _ := strings.Cut(in.Path, "?")
	if !isUnambiguousPath(path) {
		return invalidf("the path must have no empty, \".\" or \"..\" segment and no escaped slash or dot")
	}
	route := findRoute(service, in.Method, path)
	if route == nil {
		return problemf(http.StatusNotFound, CodeNotFound, "the service %q has no route for %s %s", in.Service, in.Method, truncate([]byte(path)))
	}
	if route.Class != "" {
		call.Request.Class = route.Class
	}
	call.Request.Once = !route.Idempotent
	call.Work.Kind = cataloguer.PlainService

	return nil
}

// findModel returns the service that serves the named model, or nil, and the
// adapter if the name has the form MODEL:ADAPTER.
func findModel(c *cataloguer.Catalogue, entry *cataloguer.Entry, name string) (service *cataloguer.Service, adapter string) {
	if s := serviceForModel(c, entry, name); s != nil {
		return s, ""
	}
	if i := strings.LastIndexByte(name, ':'); i > 0 && i < len(name)-1 {
		return serviceForModel(c, entry, name[:i]), name[i+1:]
	}

	return nil, ""
}

// serviceForModel returns the service that has the model and that the entry may
// call, or nil. If there are several, it returns the first by name.
func serviceForModel(c *cataloguer.Catalogue, entry *cataloguer.Entry, model string) *cataloguer.Service {
	var found *cataloguer.Service
	for _, s := range c.Services {
		if s.Kind != cataloguer.ModelService || found != nil && found.Name < s.Name || !mayCall(entry, s.Name) {
			continue
		}
		for _, m := range s.Models {
			if m == model {
				found = s
			}
		}
	}

	return found
}

// mayCall reports whether the entry may call the service.
func mayCall(entry *cataloguer.Entry, service string) bool {
	for _, s := range entry.Services {
		if s == service {
			return true
		}
	}

	return len(entry.Services) == 0
}

// findRoute returns the route with the longest matching path, or nil. Of two
// routes with paths of equal length, one for the method takes precedence over
// one for all methods.
func findRoute(s *cataloguer.Service, method, path string) *cataloguer.Route {
	var best *cataloguer.Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != "*" && r.Method != method || !hasPathPrefix(path, r.Path) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) || len(r.Path) == len(best.Path) && best.Method == "*" {
			best = r
		}
	}

	return best
}

// hasPathPrefix reports whether prefix is a prefix of path that ends at a
// segment boundary.
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) &&
		(len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/')
}

// isUnambiguousPath reports whether a service can only interpret path as the
// path that the route was matched against.
func isUnambiguousPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] >= 0x7f || path[i] == '\\' || path[i] == ';' {
			return false
		}
	}
	lower := strings.ToLower(path)
	for _, escape := range []string{"%2e", "%2f", "%5c", "%00", "%25", "%3b"} {
		if strings.Contains(lower, escape) {
			return false
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || s == "" && i < len(segments)-1 {
			return false
		}
	}

	return true
}

// fingerprint returns a hash of the request that an endpoint executes.
func fingerprint(service string, in InboundRequest) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, in.Method, in.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(in.Body)

	return d.Sum64()
}
