package main

import (
	"fmt"
	"os"
	"runtime"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world) (verdict, error){
	"entry-without-id": entryWithoutID,
	"foreign-report":   reportOfAnotherWriter,
	"advice":           adviceForABurst,
	"gang":             gangInOneRack,
	"former-life":      formerLife,
	"replace-core":     replaceCore,
}

func main() { os.Exit(run()) }

func run() int {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		return couldNot
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	v, err := cases[os.Args[1]](w)
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
	w.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return broken
	}
	return held
}
