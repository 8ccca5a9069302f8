// Command rig plays the scripted cases of the review. It starts the project's programs
// as separate processes on loopback addresses and meets them with stand-ins for clients,
// executors, the operator and the platform, which behave as the users' pages say.
//
// It exits with 0 if the rule of the case held, 1 if it was broken and 2 if the case
// could not be played. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playLimit is the time after which a case that has not ended is given up. A case may
// take 120 s.
const playLimit = 100 * time.Second

// cases are the scripted cases by name. Each one is added in its own file.
var cases = map[string]func(*rig) error{}

func main() { os.Exit(run()) }

func run() int {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig [-record FILE] CASE")
		return exitFailed
	}
	record, err := openRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	r, err := openRig(record, os.Getenv("TROUBLE") != "0")
	if r != nil {
		defer r.close()
	}
	if err != nil {
		record.add("the case could not be played: %v", err)
		return exitFailed
	}
	record.add("case %s, trouble %t", flag.Arg(0), r.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- play(r) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("it was interrupted")
	case <-time.After(playLimit):
		err = fmt.Errorf("it did not end within %s", playLimit)
	}
	if err != nil {
		record.add("the case could not be played: %v", err)
		return exitFailed
	}
	broken := append(r.broken, record.twice()...)
	for _, line := range broken {
		record.add("%s", line)
	}
	record.add("result: the rule was broken %d times", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
