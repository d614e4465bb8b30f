package caller

import (
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

// maxIdempotencyKey is the length of the longest idempotency key, in bytes.
const maxIdempotencyKey = 200

// service passes a call on to a plain service. A call that may not be repeated
// needs an Idempotency-Key and is booked first.
func (s *Server) service(v *visit) error {
	route, found := s.Board.Catalogue.Read().Routes[v.r.Param("route")]
	if !found || route.Kind != catalogue.ServiceRoute {
		return fault.New(fault.NotFound, "route %q does not exist", v.r.Param("route"))
	}
	if err := s.admit(v, route); err != nil {
		return err
	}
	data, err := s.readBody(v)
	if err != nil {
		return err
	}
	request := s.request(v)
	request.Call = &exchange.Call{
		Method: v.r.Method, URL: servicePath(v), Headers: service.EndToEnd(v.r.Header), Body: data,
	}
	ctx, leave := s.enter(v, request.Deadline)
	defer leave()
	v.used = estimateTokens(string(data))
	reservation, err := s.Reserver.Reserve(ctx, v.key.Organisation, v.used)
	if err != nil {
		return ended(ctx, err)
	}
	var answer exchange.Answer
	if mustBook(request) {
		answer, err = s.book(v, request)
	} else {
		answer, err = s.Dispatcher.Call(ctx, request)
	}
	if exchange.NotRun(err) && reservation != nil {
		v.used = 0
		reservation.Settle(0)
	}
	s.Metrics.Admitted.Inc(int64(v.used))
	if err != nil {
		return ended(ctx, err)
	}
	return writeAnswer(v, answer)
}

// mustBook tells whether a call may run at most once. Reading methods may
// always be repeated (RFC 9110, section 9.2.2).
func mustBook(request exchange.Request) bool {
	return !request.Route.Repeatable && request.Call.Method != http.MethodGet
}

func servicePath(v *visit) string {
	path := "/" + strings.TrimPrefix(v.r.Param("path"), "/")
	if v.r.URL.RawQuery != "" {
		path += "?" + v.r.URL.RawQuery
	}
	return path
}

// book runs a call under its idempotency key.
func (s *Server) book(v *visit, request exchange.Request) (answer exchange.Answer, err error) {
	key := v.r.Header.Get("Idempotency-Key")
	if key == "" || len(key) > maxIdempotencyKey {
		return answer, fault.New(fault.Invalid, "Idempotency-Key: a header of 1 to %d characters is needed on route %q, whose calls may run at most once", maxIdempotencyKey, v.route.Name)
	}
	// The booking goes on when its caller goes away: its outcome must be recorded.
	return s.Booker.Run(v.r.Context(), book.Call{
		Organisation: v.key.Organisation, IdempotencyKey: hashKey(key), DisplayKey: key, Digest: callDigest(request), Request: request,
	})
}

// hashKey returns the form in which an idempotency key is kept on the control
// VMs, which may be in any region.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func callDigest(request exchange.Request) string {
	digest := sha256.New()
	for _, part := range []string{request.Route.Name, request.Call.Method, request.Call.URL, string(request.Call.Body)} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

func writeAnswer(v *visit, answer exchange.Answer) error {
	for _, h := range answer.Headers {
		v.w.Header().Add(h.Name, h.Value)
	}
	v.status = answer.Status
	v.w.WriteHeader(answer.Status)
	_, _ = v.w.Write(answer.Body)
	return nil
}
