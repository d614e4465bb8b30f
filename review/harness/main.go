//go:build review

// Command review-harness plays the cases of review/ that are scripts. It starts the
// project's programs as separate processes on loopback addresses and takes the part of
// the platform, the operator, the clients and the runners.
//
//	review-harness CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case couldn't run. With TROUBLE=0 in the environment, the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// longest bounds a run.
const longest = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*world) verdict{
	"growth":     growth,
	"evacuation": evacuation,
	"directory":  directory,
	"forwarding": forwarding,
	"draining":   draining,
	"replacing":  replacing,
	"residency":  residency,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) (code int) {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.Close()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	w.trouble = os.Getenv("TROUBLE") != "0"
	done := make(chan int, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				w.note("the case can't run: %v", failure)
				done <- exitCannot
			}
		}()
		v := cases[name](w)
		if v.broken {
			w.note("BROKEN: %s", v.text)
			done <- exitBroken
			return
		}
		w.note("held: %s", v.text)
		done <- exitHeld
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-done:
	case <-signals:
		w.note("the case can't run: it was interrupted")
		code = exitCannot
	case <-time.After(longest):
		w.note("the case can't run: it took longer than %v", longest)
		code = exitCannot
	}
	w.end()
	return code
}
