package forward

import (
	"bufio"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"kingcuprill/rpc/vm"
)

// keepAlive is how often a VM that has no token yet sends an empty frame, so
// that a silent connection can be told from a slow engine.
const keepAlive = time.Second

// silentAfter is how long a VM waits for any frame.
const silentAfter = 4 * time.Second

var errSilent = errors.New("the connection went silent")

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReader(r)
}

// frameReader reads frames and gives up on a silent connection.
type frameReader struct {
	reader *bufio.Reader
	body   io.Closer
}

// next returns the next frame that carries something.
func (f *frameReader) next() (frame *vm.ForwardFrame, err error) {
	for {
		timer := time.AfterFunc(silentAfter, func() { f.body.Close() })
		frame = &vm.ForwardFrame{}
		err = readFrame(f.reader, frame)
		if !timer.Stop() && err != nil {
			return nil, errSilent
		}
		if err != nil {
			return nil, err
		}
		if frame.GetStatus() != keepAliveStatus {
			return frame, nil
		}
	}
}

// keepAliveStatus marks a frame that carries nothing.
const keepAliveStatus = 102

// maxFrameBytes bounds one frame: the largest answer of a service and its
// headers.
const maxFrameBytes = 300 << 20

func readFrame(reader *bufio.Reader, frame *vm.ForwardFrame) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(reader, frame)
}
