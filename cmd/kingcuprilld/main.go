// Command kingcuprilld is the daemon of an entry VM: it takes requests of callers,
// chooses targets for them, and can hold a replica of the control log.
package main

import (
	"os"

	"kingcuprill/io/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
