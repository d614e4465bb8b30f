package codec

import (
	"errors"

	"google.golang.org/protobuf/reflect/protoreflect"

	"kingcuprill/rpc/state"
)

// ErrNewer reports a message with parts that this build doesn't know.
var ErrNewer = errors.New("a newer build has written it: it has parts that this build does not know")

// CheckCatalogue returns ErrNewer if a catalogue has parts that this build doesn't know.
func CheckCatalogue(m *state.Catalogue) error {
	return checkKnown(m.ProtoReflect())
}

// checkKnown returns ErrNewer if the message, or one inside it, has fields that this
// build doesn't know.
func checkKnown(message protoreflect.Message) (err error) {
	if len(message.GetUnknown()) > 0 {
		return ErrNewer
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		err = checkField(field, value)
		return err == nil
	})
	return err
}

func checkField(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	if field.Message() == nil || field.IsMap() {
		return nil
	}
	if !field.IsList() {
		return checkKnown(value.Message())
	}
	list := value.List()
	for i := range list.Len() {
		if err := checkKnown(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}
