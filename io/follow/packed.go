package follow

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// maxCatalogue bounds an unpacked catalogue, in bytes.
const maxCatalogue = 64 << 20

// packed is a catalogue as it goes to all entry VMs, compressed once.
type packed struct {
	revision uint64
	data     []byte
}

// pack returns a compressed catalogue, or nil where that fails. The entry VM
// then asks again.
func (s *Server) pack(c *catalogue.Catalogue) []byte {
	if last := s.packed.Load(); last != nil && last.revision == c.Revision {
		return last.data
	}
	data, err := compress(c)
	if err != nil {
		s.Log.Error("catalogue can't be packed", "revision", c.Revision, "error", err)
		return nil
	}
	s.packed.Store(&packed{revision: c.Revision, data: data})
	return data
}

func compress(c *catalogue.Catalogue) (data []byte, err error) {
	defer fault.Annotate(&err, "pack a catalogue")
	raw, err := proto.Marshal(codec.FromCatalogue(c))
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(data []byte) (c *catalogue.Catalogue, err error) {
	defer fault.Annotate(&err, "unpack a catalogue")
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxCatalogue+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxCatalogue {
		return nil, fmt.Errorf("it has more than %d bytes", maxCatalogue)
	}
	var message state.Catalogue
	if err := proto.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	return codec.ToCatalogue(&message), nil
}
