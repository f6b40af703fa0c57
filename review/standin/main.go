// Command standin plays what stands around the boxes in the cases of this review: the platform's store,
// replicas and callers, from package platformtest, and the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

const limit = 110 * time.Second // of a case

// cases returns whether the rule held.
var cases = map[string]func(*world) (held bool, err error){
	"reclaim":     reclaim,
	"half-close":  halfClose,
	"long-bodies": longBodies,
	"repeated":    repeated,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2]))
	}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR RECORD TROUBLE")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func play(name, dir, record string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	w, err := newWorld(ctx, dir, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	held, err := cases[name](w)
	code := exitHeld
	switch {
	case err != nil:
		w.note("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitCannotRun
	case !held:
		w.note("the rule is broken")
		code = exitBroken
	default:
		w.note("the rule held")
	}
	if err := w.writeRecord(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}
