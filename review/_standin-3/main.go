// Command standin runs the scripts of the third review: stand-ins of the platform's store, of leaves and
// of clients, and the system's own processes.
package main

import (
	"fmt"
	"os"
	"runtime"
)

func main() {
	// The nodes end with the thread that has started them.
	runtime.LockOSThread()
	if len(os.Args) < 3 {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "drain":
		os.Exit(drain(os.Args[2], os.Getenv("TROUBLE") != "0"))
	}
	os.Exit(2)
}
