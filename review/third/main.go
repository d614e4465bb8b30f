//go:build review3

// Command review-3 plays the script cases of the third review. It starts the programs of the
// deploy file as processes on loopback addresses, with stand-ins of its own for clients,
// runners and the platform.
//
// Usage: review-3 CASE FOLDER, at the root of the repository. The record goes to
// FOLDER/record.txt. The exit code is 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// longest bounds a case.
	longest = 115 * time.Second
)

var cases = map[string]func(*system) (broken bool){
	"lost-farewell":     lostFarewell,
	"kept-tokens":       keptTokens,
	"refused-rests":     refusedRests,
	"undone-evacuation": undoneEvacuation,
	"invalid-accepted":  invalidAccepted,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) (code int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return exitNotRun
	}
	s, err := newSystem(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	defer func() {
		if failure := recover(); failure != nil {
			s.note("the case could not run: %v", failure)
			code = exitNotRun
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.close()
		os.Exit(exitNotRun)
	}()
	timer := time.AfterFunc(longest, func() {
		s.note("the case could not run: it takes longer than %v", longest)
		s.close()
		os.Exit(exitNotRun)
	})
	defer timer.Stop()
	if cases[args[0]](s) {
		s.note("RESULT: the rule was broken")
		return exitBroken
	}
	s.note("RESULT: the rule held")
	return exitHeld
}
