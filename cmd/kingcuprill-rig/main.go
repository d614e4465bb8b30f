// Command kingcuprill-rig runs demonstrations, measurements and experiments on
// clusters of real processes. It is never part of a deployment.
package main

import (
	"os"

	"kingcuprill/io/rig/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
