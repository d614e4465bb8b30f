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

var statuses = map[fault.Code]int{
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

// notRunCode tells whether a refusal with the code comes before anything is
// dispatched.
func notRunCode(code fault.Code) bool {
	switch code {
	case fault.Unauthenticated, fault.Forbidden, fault.NotFound, fault.Invalid, fault.RateLimited, fault.Residency:
		return true
	}
	return false
}

// body describes an error to a caller. It says not_run only where that is
// certain.
func body(err error) errorBodyJSON {
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
	if status := statuses[code]; status >= 400 && status < 500 {
		kind = "invalid_request_error"
	}
	if code == fault.Overloaded && failure == nil {
		notRun = true
	}
	return errorBodyJSON{Message: err.Error(), Type: kind, Code: string(code), NotRun: notRun}
}

// writeError writes an error in the shape of the callers' protocol and returns
// its status.
func writeError(w http.ResponseWriter, err error) (status int) {
	described := body(err)
	status, known := statuses[fault.Code(described.Code)]
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
