package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/booking"
	"kingcuprill/core/control"
	"kingcuprill/core/enginelease"
	"kingcuprill/core/fault"
	"kingcuprill/rpc/state"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

// ChangeDigest returns a hash of a change, the hex SHA-256 of its deterministic
// encoding. It tells a resend from another change under the same request id. It
// fails if the change can't be encoded.
func ChangeDigest(change *state.Change) (digest string, err error) {
	data, err := deterministic.Marshal(change)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// FromCommand maps a command to its message.
func FromCommand(c control.Command) *state.Command {
	m := &state.Command{RequestId: c.RequestID, ExpectedRevision: c.ExpectedRevision, AnyRevision: c.AnyRevision}
	switch {
	case c.Change != nil:
		m.Kind = &state.Command_Change{Change: FromChange(*c.Change)}
	case c.Claim != nil:
		m.Kind = &state.Command_Claim{Claim: &state.Claim{
			Organisation: c.Claim.Organisation, IdempotencyKey: c.Claim.IdempotencyKey, Digest: c.Claim.Digest,
			Owner: c.Claim.Owner, ClaimId: c.Claim.ClaimID, NowUnixNanoseconds: c.Claim.Now.UnixNano(),
		}}
	case c.Finish != nil:
		m.Kind = &state.Command_Finish{Finish: &state.Finish{
			Organisation: c.Finish.Organisation, IdempotencyKey: c.Finish.IdempotencyKey, ClaimId: c.Finish.ClaimID,
			Outcome: string(c.Finish.Outcome), Status: int32(c.Finish.Status), ContentType: c.Finish.ContentType,
			Body: c.Finish.Body, Withheld: c.Finish.Withheld, NowUnixNanoseconds: c.Finish.Now.UnixNano(),
		}}
	case c.EngineLease != nil:
		m.Kind = &state.Command_Orders{Orders: &state.Orders{
			Holder: c.EngineLease.Holder, NowUnixNanoseconds: c.EngineLease.Now.UnixNano(), DurationNanoseconds: int64(c.EngineLease.Duration),
		}}
	}
	return m
}

// ToCommand maps a message to a command and computes the digest of a change. It
// fails with ErrNewer if the message has parts that this build doesn't know, and if the
// change can't be encoded.
func ToCommand(m *state.Command) (c control.Command, err error) {
	if err := checkKnown(m.ProtoReflect()); err != nil {
		return c, err
	}
	c = control.Command{RequestID: m.GetRequestId(), ExpectedRevision: m.GetExpectedRevision(), AnyRevision: m.GetAnyRevision()}
	switch kind := m.GetKind().(type) {
	case *state.Command_Change:
		c.Change = ptr(ToChange(kind.Change))
		c.Digest, err = ChangeDigest(kind.Change)
	case *state.Command_Claim:
		c.Claim = &booking.Claim{
			Organisation: kind.Claim.GetOrganisation(), IdempotencyKey: kind.Claim.GetIdempotencyKey(), Digest: kind.Claim.GetDigest(),
			Owner: kind.Claim.GetOwner(), ClaimID: kind.Claim.GetClaimId(), Now: time.Unix(0, kind.Claim.GetNowUnixNanoseconds()),
		}
	case *state.Command_Finish:
		c.Finish = &booking.Finish{
			Organisation: kind.Finish.GetOrganisation(), IdempotencyKey: kind.Finish.GetIdempotencyKey(), ClaimID: kind.Finish.GetClaimId(),
			Outcome: booking.Outcome(kind.Finish.GetOutcome()), Status: int(kind.Finish.GetStatus()),
			ContentType: kind.Finish.GetContentType(), Body: kind.Finish.GetBody(), Withheld: kind.Finish.GetWithheld(), Now: time.Unix(0, kind.Finish.GetNowUnixNanoseconds()),
		}
	case *state.Command_Orders:
		c.EngineLease = &enginelease.Request{
			Holder: kind.Orders.GetHolder(), Now: time.Unix(0, kind.Orders.GetNowUnixNanoseconds()),
			Duration: time.Duration(kind.Orders.GetDurationNanoseconds()),
		}
	}
	return c, err
}

// FromBooking maps a booking to its message.
func FromBooking(b booking.Booking) *state.Booking {
	return &state.Booking{
		Organisation: b.Organisation, IdempotencyKey: b.IdempotencyKey, Digest: b.Digest, Owner: b.Owner, ClaimId: b.ClaimID,
		Outcome: string(b.Outcome), Status: int32(b.Status), ContentType: b.ContentType, Body: b.Body,
		Withheld: b.Withheld, GivenUp: b.GivenUp, ChangedUnixNanoseconds: b.Changed.UnixNano(),
	}
}

// ToBooking maps a message to a booking.
func ToBooking(m *state.Booking) booking.Booking {
	return booking.Booking{
		Organisation: m.GetOrganisation(), IdempotencyKey: m.GetIdempotencyKey(), Digest: m.GetDigest(), Owner: m.GetOwner(),
		ClaimID: m.GetClaimId(), Outcome: booking.Outcome(m.GetOutcome()), Status: int(m.GetStatus()),
		ContentType: m.GetContentType(), Body: m.GetBody(), Withheld: m.GetWithheld(), GivenUp: m.GetGivenUp(), Changed: time.Unix(0, m.GetChangedUnixNanoseconds()),
	}
}

// FromLease maps the lease under which a VM may send commands to engines to its
// message.
func FromLease(l enginelease.Lease) *state.OrdersLease {
	return &state.OrdersLease{Holder: l.Holder, Fencing: l.Fencing, ExpiresUnixNanoseconds: l.Expires.UnixNano()}
}

// ToLease maps a message to the lease under which a VM may send commands to
// engines. No message gives a lease without a holder.
func ToLease(m *state.OrdersLease) enginelease.Lease {
	if m == nil {
		return enginelease.Lease{}
	}
	return enginelease.Lease{Holder: m.GetHolder(), Fencing: m.GetFencing(), Expires: time.Unix(0, m.GetExpiresUnixNanoseconds())}
}

// EncodeState encodes the replicated state as a snapshot of the control log.
func EncodeState(s *control.State) (data []byte, err error) {
	m := &state.Snapshot{Catalogue: FromCatalogue(s.Catalogue), Orders: FromLease(s.EngineLease)}
	for _, row := range s.Ledger.Rows() {
		m.Bookings = append(m.Bookings, FromBooking(row))
	}
	for _, row := range s.RememberedAnswers() {
		answer := &state.Answered{RequestId: row.RequestID, Digest: row.Digest, Revision: row.Revision}
		if row.Err != nil {
			answer.ErrorCode, answer.ErrorText = string(row.Err.Code), row.Err.Text
		}
		m.Answered = append(m.Answered, answer)
	}
	return deterministic.Marshal(m)
}

// DecodeState decodes the replicated state from a snapshot. No data gives the
// empty state. It fails if the data isn't a valid message, and with ErrNewer if it has
// parts that this build doesn't know.
func DecodeState(data []byte) (s *control.State, err error) {
	defer fault.Annotate(&err, "decode the snapshot of the state")
	s = control.New()
	if len(data) == 0 {
		return s, nil
	}
	m := &state.Snapshot{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	if err := checkKnown(m.ProtoReflect()); err != nil {
		return nil, err
	}
	s.Catalogue = ToCatalogue(m.GetCatalogue())
	s.EngineLease = ToLease(m.GetOrders())
	for _, row := range m.GetBookings() {
		s.Ledger.Restore(ToBooking(row))
	}
	for _, row := range m.GetAnswered() {
		answer := control.Answered{RequestID: row.GetRequestId(), Digest: row.GetDigest(), Revision: row.GetRevision()}
		if row.GetErrorCode() != "" {
			answer.Err = &fault.Error{Code: fault.Code(row.GetErrorCode()), Text: row.GetErrorText()}
		}
		s.Remember(answer)
	}
	return s, nil
}
