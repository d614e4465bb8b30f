package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/io/book"
	"kingcuprill/io/service"
)

// maxIdempotencyKeyBytes is the greatest length of an idempotency key.
const maxIdempotencyKeyBytes = 200

// service passes a call on to a plain service. A call that may run at most once
// needs an Idempotency-Key, which is recorded in the control log before the call
// runs.
func (s *Server) service(in *incomingRequest) error {
	route, found := s.VMState.Catalogue.Read().Routes[in.r.Param("route")]
	if !found || route.Kind != catalogue.ServiceRoute {
		return fault.New(fault.NotFound, "route %q does not exist", in.r.Param("route"))
	}
	if err := s.admit(in, route); err != nil {
		return err
	}
	data, err := s.readBody(in)
	if err != nil {
		return err
	}
	request := s.request(in)
	request.Call = &exchange.Call{
		Method: in.r.Method, URL: servicePath(in), Headers: service.EndToEnd(in.r.Header), Body: data,
	}
	ctx, leave := s.enter(in, request.Deadline)
	defer leave()
	in.used = estimateTokens(string(data))
	reservation, err := s.Reserver.Reserve(ctx, in.key.Organisation, in.used)
	if err != nil {
		return contextFailure(ctx, err)
	}
	var answer exchange.Answer
	if atMostOnce(request) {
		answer, err = s.book(in, request)
	} else {
		answer, err = s.Dispatcher.Call(ctx, request)
	}
	if exchange.NotRun(err) && reservation != nil {
		in.used = 0
		reservation.Settle(0)
	}
	s.Metrics.AdmittedTokens.Inc(int64(in.used))
	if err != nil {
		return contextFailure(ctx, err)
	}
	return writeAnswer(in, answer)
}

// atMostOnce tells whether a call must not run twice. GET is idempotent and may
// always be repeated (RFC 9110, section 9.2.2).
func atMostOnce(request exchange.Request) bool {
	return !request.Route.Repeatable && request.Call.Method != http.MethodGet
}

// servicePath returns the path and query that the service is called with.
func servicePath(in *incomingRequest) string {
	path := "/" + strings.TrimPrefix(in.r.Param("path"), "/")
	if in.r.URL.RawQuery != "" {
		path += "?" + in.r.URL.RawQuery
	}
	return path
}

// book runs a call at most once under its idempotency key.
func (s *Server) book(in *incomingRequest, request exchange.Request) (answer exchange.Answer, err error) {
	key := in.r.Header.Get("Idempotency-Key")
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return answer, fault.New(fault.Invalid, "Idempotency-Key: a header of 1 to %d characters is needed on route %q, whose calls may run at most once", maxIdempotencyKeyBytes, in.route.Name)
	}
	call := book.Call{
		Organisation: in.key.Organisation, IdempotencyKey: hashKey(key), DisplayKey: key, Digest: callDigest(request), Request: request,
	}
	// The call goes on after its caller disconnects: its outcome must be recorded.
	booked := make(chan bookingResult, 1)
	go func() {
		answer, err := s.Booker.Run(in.r.Context(), call)
		booked <- bookingResult{answer, err}
	}()
	ended, leave := s.Register.Enter(context.WithoutCancel(in.r.Context()), "")
	defer leave()
	select {
	case result := <-booked:
		return result.answer, result.err
	case <-ended.Done():
		return answer, &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
			"the booking with idempotency key %q may have run: %v; send it again with the same key to another VM to learn its outcome", key, context.Cause(ended))}
	}
}

// bookingResult is what a booking returns.
type bookingResult struct {
	answer exchange.Answer
	err    error
}

// hashKey returns the hash that is stored on the control VMs in place of an
// idempotency key, because they may be in any region.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// callDigest identifies the content of a call, so that an idempotency key that is
// used again for another call is noticed.
func callDigest(request exchange.Request) string {
	digest := sha256.New()
	for _, part := range []string{request.Route.Name, request.Call.Method, request.Call.URL, string(request.Call.Body)} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

func writeAnswer(in *incomingRequest, answer exchange.Answer) error {
	for _, h := range answer.Headers {
		in.w.Header().Add(h.Name, h.Value)
	}
	in.status = answer.Status
	in.w.WriteHeader(answer.Status)
	_, err := in.w.Write(answer.Body)
	return notWritten(err)
}
