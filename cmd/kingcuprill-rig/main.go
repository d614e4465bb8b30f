// Command kingcuprill-rig runs demonstrations and experiments on real
// processes. It is never part of a deployment.
package main

import (
	"os"

	"kingcuprill/io/rig/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
