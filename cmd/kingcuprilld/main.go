// Command kingcuprilld is the daemon of an entry VM.
package main

import (
	"os"

	"kingcuprill/io/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
