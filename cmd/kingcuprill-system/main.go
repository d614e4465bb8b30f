// Command kingcuprill-system runs an entry or a control VM of kingcuprill on the
// platform.
package main

import (
	"os"

	"kingcuprill/platform/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
