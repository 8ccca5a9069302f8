package main

import (
	"context"

	"marjoramtiller.example/marjoramtiller/measure"
)

// bench prints the four metrics for both users' workloads. It needs no settings file
// and contacts no process.
func bench(_ context.Context, t *tool, args []string) error {
	a := t.arguments("bench")
	if err := a.parse(args, 0); err != nil {
		return err
	}
	rows, err := measure.Rows()
	if err != nil {
		return err
	}
	return measure.Print(t.out, rows)
}
