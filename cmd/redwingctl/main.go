// Command redwingctl is the operator tool of the query tier.
package main

import (
	"os"

	"github.com/redwingshelf/redwingshelf/internal/ctl"
)

func main() {
	os.Exit(ctl.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
