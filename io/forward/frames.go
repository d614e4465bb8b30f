package forward

import (
	"bufio"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"kingcuprill/rpc/vm"
)

// keepAliveInterval is how often a VM that has nothing else to send writes an empty
// frame, so that a broken connection can be told from a slow engine.
const keepAliveInterval = time.Second

// silenceTimeout is how long a VM waits for any frame.
const silenceTimeout = 4 * time.Second

var errSilent = errors.New("the VM sent nothing in time")

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReader(r)
}

// afterSilence calls end if a VM is silent for a time. A request that may not be repeated
// is left to it until the deadline: the VM may go on, and nothing takes its place. stop
// returns false if end was called.
func afterSilence(repeatable bool, silence time.Duration, end func()) (stop func() bool) {
	if !repeatable {
		return func() bool { return true }
	}
	return time.AfterFunc(silence, end).Stop
}

// frameReader reads frames. If the request may be repeated, it closes the body after
// silenceTimeout without one.
type frameReader struct {
	reader     *bufio.Reader
	body       io.Closer
	repeatable bool
}

func newFrameReader(body io.ReadCloser, repeatable bool) *frameReader {
	return &frameReader{reader: newReader(body), body: body, repeatable: repeatable}
}

// next returns the next frame that isn't a keep-alive.
func (f *frameReader) next() (frame *vm.ForwardFrame, err error) {
	for {
		stop := afterSilence(f.repeatable, silenceTimeout, func() { f.body.Close() })
		frame = &vm.ForwardFrame{}
		err = readFrame(f.reader, frame)
		if !stop() && err != nil {
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

// keepAliveStatus is the status that marks a keep-alive frame.
const keepAliveStatus = 102

// maxFrameBytes bounds one frame, which holds the largest answer of a service and
// its headers.
const maxFrameBytes = 300 << 20

func readFrame(reader *bufio.Reader, frame *vm.ForwardFrame) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(reader, frame)
}
