package demonstrator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"snipedyke/internal/standin"
	"snipedyke/pkg/cataloguer"
)

// workload builds the calls of each class of a site.
type workload struct {
	site *standin.Site
	// postClass and getClass are the classes of plain calls that must not and
	// that may be repeated; interactive and batch are the classes of model
	// requests.
	postClass, getClass, interactive, batch *cataloguer.Class

	modelName         string
	plainService      string
	postPath, getPath string
	entries           map[string][]string
	modelSlots        int
}

// call is a request and its expected answer.
type call struct {
	class *cataloguer.Class
	// id is unique in the site and part of the path or the prompt of the call.
	id     string
	method string
	path   string
	token  string
	body   string
	// isModel reports whether the answer is a stream. want is the text of the
	// stream or the body of a plain answer.
	isModel bool
	want    string
	// endpointPath is the path that the endpoint receives.
	endpointPath string
	// key is the idempotency key, or empty.
	key string
	// deadline is the batch deadline, or zero.
	deadline time.Time
}

func newWorkload(s *standin.Site) *workload {
	w := &workload{site: s, entries: map[string][]string{}}
	c := s.Catalogue
	for _, service := range c.Services {
		if service.Kind == cataloguer.ModelService {
			w.modelName = service.Models[0]

			continue
		}
		w.plainService = service.Name
		for _, r := range service.Routes {
			if r.Idempotent {
				w.getClass, w.getPath = c.Classes[r.Class], r.Path
			} else {
				w.postClass, w.postPath = c.Classes[r.Class], r.Path
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Entries)) {
		e := c.Entries[name]
		w.entries[e.Class] = append(w.entries[e.Class], name)
		if c.Classes[e.Class].Batch {
			w.batch = c.Classes[e.Class]
		} else {
			w.interactive = c.Classes[e.Class]
		}
	}
	for _, e := range c.Endpoints {
		if c.Services[e.Service].Kind == cataloguer.ModelService {
			w.modelSlots += e.Slots
		}
	}

	return w
}

// capacity returns the model requests per second that warm engines complete.
func (w *workload) capacity() float64 {
	return float64(w.modelSlots) / (firstToken + meanTokens*tokenInterval).Seconds()
}

// largeAccounts is the number of client accounts that send the batch requests.
// The limits of the other accounts would reject a burst before it reaches the
// queues.
const largeAccounts = 3

// token returns the API key for the n-th call of a class. The calls use the
// entries of the class in turn.
func (w *workload) token(class string, n int) string {
	entries := w.entries[class]
	if class == w.batch.Name {
		entries = entries[:min(largeAccounts, len(entries))]
	}

	return w.site.Keys[entries[n%len(entries)]]
}

// modelCall returns a request to a model service.
func (w *workload) modelCall(class *cataloguer.Class, n int) *call {
	c := &call{class: class, id: fmt.Sprintf("%s-%d", class.Name, n), method: "POST", path: "/v1/chat/completions", isModel: true}
	prompt := "Request " + c.id
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model    string    `json:"model"`
		Stream   bool      `json:"stream"`
		Messages []message `json:"messages"`
	}{w.modelName, true, []message{{"user", prompt}}})
	if err != nil {
		// Strings can always be encoded.
		panic(err)
	}
	c.token = w.token(class.Name, n)
	c.body = string(body)
	c.want = standin.Text(w.modelName, prompt+"\n", meanTokens, 0)

	return c
}

// postCall returns a call that must not be repeated, and getCall one that may
// be.
func (w *workload) postCall(n int) *call {
	c := w.plainCall(w.postClass, "POST", w.postPath, n)
	c.key = "order-" + c.id

	return c
}

func (w *workload) getCall(n int) *call { return w.plainCall(w.getClass, "GET", w.getPath, n) }

func (w *workload) plainCall(class *cataloguer.Class, method, path string, n int) *call {
	c := &call{class: class, id: fmt.Sprintf("%s-%d", class.Name, n), method: method, token: w.token(w.interactive.Name, n)}
	c.endpointPath = path + "/" + c.id
	c.path = "/services/" + w.plainService + c.endpointPath
	if method == "POST" {
		c.body = fmt.Sprintf(`{"order":%q}`, strings.ToUpper(c.id))
	}
	c.want = string(standin.ServiceAnswer(w.plainService, method, c.endpointPath, []byte(c.body)))

	return c
}
