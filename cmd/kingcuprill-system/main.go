// Command kingcuprill-system is a VM of kingcuprill on the platform.
package main

import (
	"os"

	"kingcuprill/platform/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
