package dispatch

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/target"
)

const (
	// soundAfter is how long after its first token a generation must go on for its
	// prompt to count as harmless.
	soundAfter = 300 * time.Millisecond
	// maxParts bounds the parts by which a prompt is compared with others.
	maxParts = 64
	// paragraphBreak separates the parts of a prompt.
	paragraphBreak = "\n\n"
)

// ErrQuarantined is the error of a request that isn't run since it, or a part of its
// prompt, has crashed targets.
var ErrQuarantined = fault.New(fault.Quarantined, "the request is quarantined and not run: targets have crashed repeatedly while they ran it")

// Identity returns what identifies a request as a possible cause of crashes: its
// content, and the paragraphs of its prompt but the last one, which other requests may
// share.
func Identity(request exchange.Request) quarantine.Request {
	r := quarantine.Request{Service: request.Route.Service, Organisation: request.Organisation}
	if g := request.Generation; g != nil {
		r.Service += "/" + g.Model
		r.Parts = paragraphs(g.Prompt)
		r.Fingerprint = quarantine.Fingerprint(request.Organisation, request.Route.Name, g.Model+"\x00"+g.Prompt)
		return r
	}
	r.Fingerprint = quarantine.Fingerprint(request.Organisation, request.Route.Name, request.Call.Method+request.Call.URL+"\x00"+string(request.Call.Body))
	return r
}

func paragraphs(prompt string) (hashes []string) {
	for range maxParts {
		paragraph, rest, found := strings.Cut(prompt, paragraphBreak)
		if !found {
			break
		}
		hashes = append(hashes, strconv.FormatUint(xxhash.Sum64String(paragraph), 16))
		prompt = rest
	}
	return hashes
}

// judge notes whether the request is suspect now, and reports whether it is refused.
func (r *run) judge() (refused bool) {
	verdict := r.d.VMState.Quarantine.Judge(r.identity)
	r.suspect, r.suspects = r.reported || verdict.Suspect, verdict.Parts
	return verdict.Refused
}

// isolated reports whether the request must not run at the same time as another
// suspect at one target, or as another one with a part that is suspect.
func (r *run) isolated() bool {
	return r.suspect && r.request.Generation != nil
}

// beginTrial reserves a target and the suspect parts for the request.
func (r *run) beginTrial(live *target.Live) bool {
	if !live.AdmitSuspect() {
		return false
	}
	if !r.d.VMState.Quarantine.BeginTrial(r.identity.Service, r.suspects) {
		live.ReleaseSuspect()
		return false
	}
	r.onTrial = append([]string{}, r.suspects...)
	return true
}

// endTrial ends the trial of the request, if it has one.
func (r *run) endTrial(live *target.Live) {
	if r.onTrial == nil {
		return
	}
	live.ReleaseSuspect()
	r.d.VMState.Quarantine.EndTrial(r.identity.Service, r.onTrial)
	r.onTrial = nil
}

// followed is what the tokens of one attempt say about the prompt.
type followed struct {
	begun time.Time // first token, zero before it
	mark  uint64    // of the quarantine list, from then
	sound bool      // they have cleared the prompt
}

// followTokens returns a sink that clears the request's prompt once the generation has
// gone on for a while.
func (r *run) followTokens(f *followed, sink func(exchange.Token) error) func(exchange.Token) error {
	list := r.d.VMState.Quarantine
	return func(t exchange.Token) error {
		now := time.Now()
		if f.begun.IsZero() {
			f.begun, f.mark = now, list.Mark()
		}
		if !f.sound && now.Sub(f.begun) >= soundAfter {
			f.sound = true
			list.Sound(f.mark, r.identity)
		}
		return sink(t)
	}
}

// recordSuccess clears the prompt of a generation that has ended well.
func (r *run) recordSuccess() {
	if !r.followed.begun.IsZero() && !r.followed.sound {
		r.d.VMState.Quarantine.Sound(r.followed.mark, r.identity)
	}
}

// checkCrash checks over a new connection whether the target has crashed while it
// ran the request, and if so records the request as a possible cause.
func (r *run) checkCrash(ctx context.Context, t *target.Target) {
	if !r.followed.begun.IsZero() && time.Since(r.followed.begun) >= soundAfter {
		return
	}
	health := r.d.Engine.Health(ctx, t.Address)
	if health.Reached && health.BootID == t.BootID {
		return
	}
	boot := t.ID + "/" + t.BootID
	row := r.d.VMState.Quarantine.Report(r.attemptID()+"@"+boot, boot, r.identity, false, r.onTrial != nil)
	r.judge()
	r.d.Log.Warn("target has crashed before it answered a request; the request's parts are suspect until answers clear them", "request_id", r.request.ID,
		"target", t.ID, "boot", boot, "trial", row.Trial, "parts", row.Parts, "known", row.Known)
}
