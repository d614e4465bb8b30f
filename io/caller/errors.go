package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/io/reserve"
)

var statusByCode = map[fault.Code]int{
	fault.Unauthenticated: http.StatusUnauthorized,
	fault.Forbidden:       http.StatusForbidden,
	fault.NotFound:        http.StatusNotFound,
	fault.Invalid:         http.StatusBadRequest,
	fault.Conflict:        http.StatusConflict,
	fault.RateLimited:     http.StatusTooManyRequests,
	fault.Residency:       http.StatusUnavailableForLegalReasons,
	fault.Loop:            http.StatusLoopDetected,
	fault.Quarantined:     http.StatusUnprocessableEntity,
	fault.NoTarget:        http.StatusServiceUnavailable,
	fault.NoQuorum:        http.StatusServiceUnavailable,
	fault.OutcomeUnknown:  http.StatusGatewayTimeout,
	fault.AnswerLost:      http.StatusGone,
	fault.Deadline:        http.StatusGatewayTimeout,
	fault.Overloaded:      http.StatusServiceUnavailable,
	fault.Interrupted:     http.StatusBadGateway,
	fault.Internal:        http.StatusBadGateway,
}

type errorJSON struct {
	Error errorBodyJSON `json:"error"`
}

type errorBodyJSON struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not_run"`
}

// notRunCode tells whether errors with the code occur only before a request is
// dispatched.
func notRunCode(code fault.Code) bool {
	switch code {
	case fault.Unauthenticated, fault.Forbidden, fault.NotFound, fault.Invalid, fault.RateLimited, fault.Residency:
		return true
	}
	return false
}

// errorBody returns the JSON form of an error. NotRun is set only if the request
// has certainly not run.
func errorBody(err error) errorBodyJSON {
	code := fault.CodeOf(err)
	var failure *exchange.Failure
	notRun := notRunCode(code)
	if errors.As(err, &failure) {
		notRun = failure.NotRun
	}
	var coded *fault.Error
	if !errors.As(err, &coded) {
		code = fault.Interrupted
	}
	kind := "server_error"
	if status := statusByCode[code]; status >= 400 && status < 500 {
		kind = "invalid_request_error"
	}
	if code == fault.Overloaded && failure == nil {
		notRun = true
	}
	return errorBodyJSON{Message: err.Error(), Type: kind, Code: string(code), NotRun: notRun}
}

// writeError writes an error as a JSON response and returns its status.
func writeError(w http.ResponseWriter, err error) (status int) {
	described := errorBody(err)
	status, known := statusByCode[fault.Code(described.Code)]
	if !known {
		status = http.StatusInternalServerError
	}
	if wait := retryAfter(err, status); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorJSON{Error: described})
	return status
}

// retryAfter returns the value of the Retry-After header, 0 for none.
func retryAfter(err error, status int) time.Duration {
	var refusal *reserve.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	if status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}
