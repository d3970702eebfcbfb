package assembler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
)

// maxPlaceTokens bounds the token counts of a described request.
const maxPlaceTokens = 1 << 24

// handlePlace responds with where the request that the query describes would go now.
func (n *RoutingNode) handlePlace(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if !ctx.IsGet() {
		ctx.SetStatusCode(http.StatusMethodNotAllowed)

		return
	}
	var answer any
	if q, account, field, err := parsePlace(ctx.QueryArgs()); err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		answer = map[string]string{"field": field, "error": err.Error()}
	} else {
		answer = n.forwarder.Explain(q, account)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)

		return
	}
	ctx.SetBody(body)
}

// parsePlace returns the request that a query describes, and the name of its account. If
// the query is malformed, it returns the name of the field and what is wrong with it.
func parsePlace(args *fasthttp.Args) (q director.Request, account, field string, err error) {
	for key, value := range args.All() {
		field, text := string(key), string(value)
		switch field {
		case "host":
			q.Host = text
		case "path":
			q.Path = text
		case "account":
			account = text
		case "name":
			q.Name = text
		case "tokens":
			q.Need.PromptTokens, err = parsePlaceTokens(text)
		case "shared":
			q.Need.SharedTokens, err = parsePlaceTokens(text)
		case "part":
			q.Need.SharedHash, err = strconv.ParseUint(text, 16, 64)
			q.Need.SharedParts = []uint64{q.Need.SharedHash}
		case "deadline":
			q.Deadline, err = time.ParseDuration(text)
			if err == nil && q.Deadline <= 0 {
				err = fmt.Errorf("%q is not positive", text)
			}
		default:
			err = errors.New("unknown field")
		}
		if err != nil {
			return q, account, field, err
		}
	}
	switch {
	case q.Host == "":
		return q, account, "host", errors.New("required")
	case !strings.HasPrefix(q.Path, "/"):
		return q, account, "path", fmt.Errorf("%q does not begin with a slash", q.Path)
	case q.Need.SharedTokens > q.Need.PromptTokens:
		return q, account, "shared", errors.New("more than tokens")
	default:
		return q, account, "", nil
	}
}

// parsePlaceTokens parses a number of tokens.
func parsePlaceTokens(text string) (int, error) {
	tokens, err := strconv.Atoi(text)
	if err == nil && (tokens < 0 || tokens > maxPlaceTokens) {
		err = fmt.Errorf("%d is not between 0 and %d", tokens, maxPlaceTokens)
	}

	return tokens, err
}
