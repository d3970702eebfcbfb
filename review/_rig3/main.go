// Command rig3 plays the cases 11 to 15 of the third review: it runs nodes as separate
// processes beside stand-ins of the platform, its servers and its clients.
//
//	rig3 CASE BINARY RECORD
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the
// case could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"

	"snipedyke/platform/standin"
)

// serverCommand is the only argument of a process that serves one stand-in server.
const serverCommand = "serve-standin"

// maxLength bounds the length of a case.
const maxLength = 110 * time.Second

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(*rig) error{}

func main() {
	if len(os.Args) == 2 && os.Args[1] == serverCommand {
		if err := standin.ServeProcess(os.Stdin, os.Stdout); err != nil {
			os.Exit(1)
		}

		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, binary, record string) int {
	r, err := newRig(binary, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)

		return 2
	}
	done := make(chan error, 1)
	go func() { done <- cases[name](r) }()
	select {
	case err = <-done:
	case <-time.After(maxLength):
		err = fmt.Errorf("not finished after %s", maxLength)
	}
	r.close()
	switch broken := r.broken(); {
	case err != nil:
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)

		return 2
	case broken > 0:
		r.note("the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)

		return 1
	default:
		r.note("the rule held")
		fmt.Println("the rule held")

		return 0
	}
}
