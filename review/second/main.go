//go:build review2

// Command review-2 plays one case of the second review: it starts a small deployment with the
// project's programs as processes, and stand-ins for clients, runners and the operator. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE NUMBER, in the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, number string) int {
	w, err := newWorld(number)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.line("case %s, disruption %v", name, w.trouble)
	broken, err := cases[name](w)
	if err != nil {
		w.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		w.line("the rule is broken")
		return 1
	}
	w.line("the rule held")
	return 0
}
