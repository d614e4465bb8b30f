package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strings"
)

// Request is what identifies the possible cause of a crash: the parts of a request
// that other requests may share.
type Request struct {
	Service      string
	Organisation string
	Parts        []string // ids of the prompt parts that other requests may share
	Fingerprint  string   // of the whole request
}

func (r Request) all() []string {
	return append(slices.Clone(r.Parts), r.Fingerprint)
}

// Crash is a request that a target was about to answer when the target crashed. Rows
// with the same ID on several VMs are merged.
type Crash struct {
	ID           string
	Boot         string // target and start that crashed
	Service      string
	Organisation string
	Parts        []string // that may have caused the crash
	// Known are further parts of the request. Answers to other requests with them were
	// completed before the crash, so they are less likely to have caused it.
	Known   []string
	Cleared []string // of both, those with which answers went on well after the crash
	Begun   bool     // the target had begun its answer, but sent no part of it
	Trial   bool     // no other request with a suspected part of it ran in the region
}

// Fingerprint returns a hash that identifies the content of a request, so that a copy
// that is sent again is recognised.
func Fingerprint(organisation, route, content string) string {
	return FingerprintWithBody(organisation, route, content, strings.NewReader(""))
}

// FingerprintWithBody returns the fingerprint of a content that a body ends, without a copy of
// the body.
func FingerprintWithBody(organisation, route, content string, body io.WriterTo) string {
	hash := sha256.New()
	_, _ = io.WriteString(hash, organisation+"\x00"+route+"\x00"+content)
	_, _ = body.WriteTo(hash)
	return "request:" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// merge adds what another VM knows of the same crash, and reports whether that is new.
func (c *Crash) merge(other Crash) (changed bool) {
	for _, part := range other.Cleared {
		changed = c.clear(part) || changed
	}
	return changed
}

// clear records that a part has not caused the crash, and reports whether that is new.
func (c *Crash) clear(part string) (changed bool) {
	if slices.Contains(c.Cleared, part) || !(slices.Contains(c.Parts, part) || slices.Contains(c.Known, part)) {
		return false
	}
	c.Cleared = append(slices.Clone(c.Cleared), part)
	return true
}

// open returns those of some parts that aren't cleared.
func (c *Crash) open(parts []string) (left []string) {
	for _, part := range parts {
		if !slices.Contains(c.Cleared, part) {
			left = append(left, part)
		}
	}
	return left
}
