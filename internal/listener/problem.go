package listener

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// Problem is an error answer, and the error type of this package.
type Problem struct {
	Status int
	// Code is a stable, machine-readable identifier of the error.
	Code    string
	Message string
	// Run is one of the encoder's Run constants.
	Run uint8
	// RetryAfter is the delay that is suggested before a retry, or zero if a
	// retry would not help.
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("listener: %s: %s", p.Code, p.Message) }

// Codes of requests that are refused before they reach the reducer.
const (
	CodeUnauthorized    = "unauthorized"
	CodeForbidden       = "forbidden"
	CodeInvalidRequest  = "invalid_request"
	CodeNotFound        = "not_found"
	CodeUnknownModel    = "unknown_model"
	CodeTooLarge        = "too_large"
	CodeNotReady        = string(reducer.ReasonNotReady)
	CodeConnectionLimit = "connection_limit"
	CodeMemoryLimit     = "memory_limit"
	CodeRequestLimit    = "request_limit"
)

// CodeAnswerNotKept is the code of a request that has already run and whose
// answer was not stored.
const CodeAnswerNotKept = "answer_not_kept"

// problemf returns a Problem with a formatted message for a request that did not
// run.
func problemf(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Run: encoder.NotRun}
}

// invalidf returns a Problem with a formatted message for a malformed request.
func invalidf(format string, args ...any) *Problem {
	return problemf(http.StatusBadRequest, CodeInvalidRequest, format, args...)
}

// reasonResponses maps the reason of a refusal to an HTTP status and a message.
var reasonResponses = map[reducer.Reason]struct {
	status  int
	message string
}{
	reducer.ReasonNotReady:         {http.StatusServiceUnavailable, "this node is not ready yet"},
	reducer.ReasonStaleView:        {http.StatusServiceUnavailable, "this node has lost contact with the fleet"},
	reducer.ReasonLeaving:          {http.StatusServiceUnavailable, "this node is shutting down"},
	reducer.ReasonRateLimit:        {http.StatusTooManyRequests, "the entry has exceeded its request rate"},
	reducer.ReasonConcurrencyLimit: {http.StatusTooManyRequests, "the entry has too many requests in progress"},
	reducer.ReasonOverload:         {http.StatusServiceUnavailable, "the service is overloaded"},
	reducer.ReasonDeadline:         {http.StatusServiceUnavailable, "the deadline cannot be met"},
	reducer.ReasonNoEndpoint:       {http.StatusServiceUnavailable, "no endpoint of the service is available"},
	reducer.ReasonKeyUnverifiable:  {http.StatusConflict, "it cannot be verified whether a request with this key has run"},
	reducer.ReasonKeyInUse:         {http.StatusConflict, "a request with this key is in progress or has run"},
	reducer.ReasonClaimUnavailable: {http.StatusServiceUnavailable, "the idempotency key cannot be claimed at present"},
	reducer.ReasonRecordsFull:      {http.StatusServiceUnavailable, "the table of idempotency keys is full"},
	reducer.ReasonIssuerLost:       {http.StatusConflict, "the node that issued this key is lost"},
	reducer.ReasonCoordinatorLost:  {http.StatusConflict, "the node that ran this request is lost"},
	reducer.ReasonRequestBlocked:   {http.StatusUnprocessableEntity, "this request has crashed endpoints and is blocked"},
	reducer.ReasonEndpointLost:     {http.StatusBadGateway, "the endpoint broke the connection"},
	reducer.ReasonEndpointError:    {http.StatusBadGateway, "the endpoint failed"},
	reducer.ReasonRetryBudget:      {http.StatusServiceUnavailable, "the endpoint failed and the retry budget is used up"},
	reducer.ReasonTimeout:          {http.StatusGatewayTimeout, "the endpoint did not answer in time"},
	reducer.ReasonCallerGone:       {http.StatusRequestTimeout, "the caller has disconnected"},
}

// NewProblem returns the error answer to a request refused for the given reason.
func NewProblem(reason reducer.Reason, run uint8, retryAfter time.Duration) *Problem {
	r, ok := reasonResponses[reason]
	if !ok {
		r.status, r.message = http.StatusInternalServerError, "the request failed"
	}

	return &Problem{Status: r.status, Code: string(reason), Message: r.message, Run: run, RetryAfter: retryAfter}
}

// RunHeaderValue returns the value of the Snipedyke-Run header field. An unknown
// state is reported as "may-have-run".
func RunHeaderValue(run uint8) string {
	switch run {
	case encoder.NotRun:
		return "not-run"
	case encoder.Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// errorBody is the JSON form of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes the error in an errorBody.
type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

// appendBody appends the JSON body to buf.
func (p *Problem) appendBody(buf []byte) []byte {
	body, err := json.Marshal(errorBody{errorDetail{Code: p.Code, Message: p.Message, Run: RunHeaderValue(p.Run)}})
	if err != nil {
		return append(buf, `{"error":{}}`...)
	}

	return append(buf, body...)
}

// retrySeconds rounds a duration up to whole seconds for the Retry-After field.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
