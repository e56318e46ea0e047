// Command standin runs one case of the review: it starts nodes with the command of the deploy file
// against stand-ins of the platform's store, leaves and clients, and checks one rule. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(s *site, trouble bool) (outcome, error){
	"unanswered-gathers": unansweredGathers,
	"false-promise":      falsePromise,
	"other-writer":       otherWriter,
	"config-storm":       configStorm,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository's root")
		return 2
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(log)
	if err != nil {
		log.sayf("could not run: %v", err)
		return 2
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.sayf("case %s, with the disruption: %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		log.sayf("could not run: %v", err)
		return 2
	}
	log.sayf("%s", result.text)
	if result.broken {
		log.sayf("the rule was broken")
		return 1
	}
	log.sayf("the rule held")
	return 0
}
