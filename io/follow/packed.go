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

// maxCatalogueBytes bounds a catalogue after decompression.
const maxCatalogueBytes = 64 << 20

// packed is a catalogue in its compressed form, which is sent to all entry VMs.
type packed struct {
	revision uint64
	data     []byte
}

// pack returns a compressed catalogue; the last one is cached. It returns nil
// on failure, and the entry VM then asks again.
func (s *Server) pack(c *catalogue.Catalogue) []byte {
	if last := s.packed.Load(); last != nil && last.revision == c.Revision {
		return last.data
	}
	data, err := compress(c)
	if err != nil {
		s.Log.Error("catalogue could not be compressed and is not sent; entry VMs ask for it again", "revision", c.Revision, "error", err)
		return nil
	}
	s.packed.Store(&packed{revision: c.Revision, data: data})
	return data
}

func compress(c *catalogue.Catalogue) (data []byte, err error) {
	defer fault.Annotate(&err, "compress a catalogue")
	raw, err := proto.Marshal(codec.FromCatalogue(c))
	if err != nil {
		return nil, err
	}
	return compressBytes(raw)
}

func compressBytes(raw []byte) (data []byte, err error) {
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

// decompress returns a catalogue. With an error that is codec.ErrNewer, it is the part
// that this build knows.
func decompress(data []byte) (c *catalogue.Catalogue, err error) {
	defer fault.Annotate(&err, "decompress a catalogue")
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxCatalogueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxCatalogueBytes {
		return nil, fmt.Errorf("it has more than %d bytes after decompression", maxCatalogueBytes)
	}
	var message state.Catalogue
	if err := proto.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	return codec.ToCatalogue(&message), codec.CheckCatalogue(&message)
}
