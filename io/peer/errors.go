package peer

import (
	"errors"

	"github.com/twitchtv/twirp"

	"kingcuprill/core/fault"
)

const codeMeta = "code"

var twirpCodes = map[fault.Code]twirp.ErrorCode{
	fault.Unauthenticated: twirp.Unauthenticated,
	fault.Forbidden:       twirp.PermissionDenied,
	fault.NotFound:        twirp.NotFound,
	fault.Invalid:         twirp.InvalidArgument,
	fault.Conflict:        twirp.AlreadyExists,
	fault.StaleRevision:   twirp.Aborted,
	fault.NoQuorum:        twirp.Unavailable,
	fault.OutcomeUnknown:  twirp.DeadlineExceeded,
}

// ToTwirp maps an error to a Twirp error that carries its fault code as metadata.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	code := fault.CodeOf(err)
	kind, known := twirpCodes[code]
	if !known {
		kind = twirp.Internal
	}
	return twirp.NewError(kind, err.Error()).WithMeta(codeMeta, string(code))
}

// FromTwirp maps the error of a call back to a fault.Error. It returns an error
// without a fault code unchanged.
func FromTwirp(err error) error {
	var wire twirp.Error
	if !errors.As(err, &wire) || wire.Meta(codeMeta) == "" {
		return err
	}
	return &fault.Error{Code: fault.Code(wire.Meta(codeMeta)), Text: wire.Msg()}
}
