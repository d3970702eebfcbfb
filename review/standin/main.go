// Command standin plays the cases of the review that are scripts: it starts the
// system's processes and stand-ins for the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// record writes a line with the time to the record of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(root string, trouble bool) bool{}

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotShown = 2
)

func main() {
	os.Exit(run())
}

// run plays the case NAME: standin NAME REPOSITORY RECORD.
func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin NAME REPOSITORY RECORD")

		return exitNotShown
	}
	var err error
	if recordFile, err = os.Create(os.Args[3]); err != nil {
		fmt.Println(err)

		return exitNotShown
	}
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Println("not run:", failure)
			record("not run: %v", failure)
			code = exitNotShown
		}
	}()
	go endEarly()
	if !cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0") {
		return exitBroken
	}

	return exitHeld
}

// maxLength bounds the length of a case.
const maxLength = 115 * time.Second

var (
	startedMu sync.Mutex
	// started holds the processes that were started.
	started []*os.Process
)

// endEarly ends the case, and all processes that it has started, on a signal or after
// maxLength.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	startedMu.Lock()
	for _, p := range started {
		_ = p.Kill()
	}
	record("not run: ended early")
	os.Exit(exitNotShown)
}
