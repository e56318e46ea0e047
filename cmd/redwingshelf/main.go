// Command redwingshelf runs one node of the query tier.
package main

import (
	"os"

	"github.com/redwingshelf/redwingshelf/internal/nodecmd"
)

func main() {
	os.Exit(nodecmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
