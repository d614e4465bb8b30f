package engine

import (
	"errors"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/target"
	"kingcuprill/io/rig/rawpeer"
	"kingcuprill/io/settings"
)

// A malformed answer must not count as a run, nor as a refusal of a job that has not run.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy"} {
		for _, field := range []string{"A b: c", "A : c", ": c", "A: b\r\n C: d", "A\x01: c"} {
			_, jobs, err := generate(t, "HTTP/1.1 "+status+"\r\n"+field+"\r\n\r\n"+soundStream)
			var failure *exchange.Failure
			if !errors.As(err, &failure) || failure.NotRun || jobs != 1 {
				t.Errorf("status %s, field %q: error %v after %d jobs", status, field, err, jobs)
			}
		}
	}
}

// A stream that breaks off while its job is sent must count neither as whole nor as not run.
func TestStreamsResetWhileTheJobIsSentAreNotWhole(t *testing.T) {
	first, _, _ := strings.Cut(soundStream, "\n\n")
	for range 5 {
		address := rawpeer.Peer{Answer: rawpeer.Part + first + "\n\n", Reset: true}.Start(t)
		client := NewClient(settings.Timeouts{Dial: 20 * time.Second, Silence: time.Minute, FirstToken: time.Minute}, nil)
		job := Job{ExchangeID: "x", Generation: exchange.Generation{MaxTokens: 2, Prompt: strings.Repeat("x", rawpeer.LongBody)}}
		_, err := client.Generate(t.Context(), &target.Target{Announcement: target.Announcement{ID: "t", Address: address}}, job, func(exchange.Token) error { return nil })
		var failure *exchange.Failure
		if !errors.As(err, &failure) || failure.NotRun {
			t.Errorf("error %v", err)
		}
	}
}

const soundStream = `data: {"exchange_id":"x","index":0,"text":"a"}` + "\n\n" + `data: {"exchange_id":"x","done":true,"usage":{"completion_tokens":1}}` + "\n\n"

const soundReport = `{"boot_id":"b","known":true,"generated":0}`

// A malformed report must not count as one of a sound engine.
func TestMalformedReportsAreNoReports(t *testing.T) {
	answers := rawpeer.Malformed(soundReport)
	answers["sound"] = rawpeer.Part + soundReport
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			address := rawpeer.Peer{Answer: answer}.Start(t)
			client := NewClient(settings.Timeouts{Dial: 20 * time.Second}, nil)
			if health := client.Health(t.Context(), address); health.Reached != (name == "sound") {
				t.Errorf("health %+v", health)
			}
			if state := client.probe(t.Context(), address, "x", 0); (state == sound) != (name == "sound") {
				t.Errorf("progress %d", state)
			}
		})
	}
}
