package logline

import (
	"bytes"
	"strings"
	"testing"
)

// blockedOutput is an output that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(data []byte) (int, error) {
	<-s.release
	return s.text.Write(data)
}

// TestNeverBlocks checks that a blocked output doesn't block Write, that the buffer
// stays bounded and that the dropped lines are counted.
func TestNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	w.Flush()
	if size := out.text.Len(); size > maxBufferedBytes+1024 {
		t.Errorf("%d bytes were kept", size)
	}
	if !strings.Contains(out.text.String(), `msg="log lines were left out" count=1488`) {
		t.Errorf("the end is %q", out.text.String()[out.text.Len()-80:])
	}
}
