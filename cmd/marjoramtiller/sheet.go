package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

func readSheet(path string, s *settings.Client) (*sheet.Sheet, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &usageError{"open the sheet: " + err.Error()}
	}
	defer f.Close()
	parsed, err := sheet.Parse(f, sheet.Options{Titles: s.SheetTitles})
	if err != nil {
		return nil, &usageError{path + ": " + err.Error() + "\nnothing was changed"}
	}
	return parsed, nil
}

func sheetCheck(_ context.Context, t *tool, args []string) error {
	a := t.arguments("sheet check")
	s, _, err := t.connect(a, args, 1)
	if err != nil {
		return err
	}
	parsed, err := readSheet(a.Arg(0), s)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "sheet is valid: %d pools, %d hosts, %d jobs, %d waves, %d teams\n",
		len(parsed.Pools), len(parsed.Hosts), len(parsed.Jobs), len(parsed.Waves), len(parsed.Teams))
	return nil
}

func sheetApply(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("sheet apply")
	yes := a.Bool("yes", false, "apply the difference")
	s, c, err := t.connect(a, args, 1)
	if err != nil {
		return err
	}
	parsed, err := readSheet(a.Arg(0), s)
	if err != nil {
		return err
	}
	current := &fleetpb.Snapshot{}
	if err := c.get(ctx, "/v1/configuration", current); err != nil {
		return err
	}
	changes := parsed.Diff(current)
	t.printDifference(changes, parsed.Deferred(current), current)
	if len(changes) == 0 {
		fmt.Fprintf(t.out, "nothing to change; version %d\n", current.Version)
		return nil
	}
	if !*yes {
		fmt.Fprintf(t.out, "%d change(s) to version %d, not applied; add -yes to apply\n", len(changes), current.Version)
		return nil
	}
	return t.applyChanges(ctx, c, s, current.Version, changes)
}

func (t *tool) applyChanges(ctx context.Context, c *client, s *settings.Client, base uint64, changes []*fleetpb.Change) error {
	raw, err := marshalChanges(changes)
	if err != nil {
		return err
	}
	request := operator.ConfigurationRequest{RequestID: t.newID(), Operator: s.Operator, BaseVersion: &base, Changes: raw}
	return t.postChange(ctx, c, "/v1/configuration", request.RequestID, request)
}

func marshalChanges(changes []*fleetpb.Change) ([]json.RawMessage, error) {
	var encoded []json.RawMessage
	for _, change := range changes {
		raw, err := protojson.Marshal(change)
		if err != nil {
			return nil, errors.Wrap(err, "encode the change")
		}
		encoded = append(encoded, json.RawMessage(raw))
	}
	return encoded, nil
}

// postChange sends a change and prints its result with its request id.
func (t *tool) postChange(ctx context.Context, c *client, path, id string, body any) error {
	result := &fleetpb.Result{}
	if err := c.post(ctx, path, body, result); err != nil {
		return errors.Wrapf(explain(err), "request %s", id)
	}
	outcome := "accepted"
	if result.Kind == fleetpb.Result_KIND_UNCHANGED {
		outcome = "nothing to change"
	}
	fmt.Fprintf(t.out, "%s; version %d; request %s\n", outcome, result.Version, id)
	return nil
}

// explain adds the invalid fields and the conflicting change to a problem's detail.
func explain(err error) error {
	var p *operator.Problem
	if !errors.As(err, &p) {
		return err
	}
	for _, f := range p.Faults {
		p.Detail += fmt.Sprintf("\n  %s %s: %s", f.Object, f.Field, f.Message)
	}
	if p.Conflict != nil {
		p.Detail += fmt.Sprintf("%s was changed by %s in version %d (request %s)",
			p.Conflict.Object, p.Conflict.Winner, p.Conflict.WinnerVersion, p.Conflict.WinnerRequestID)
	}
	return p
}
