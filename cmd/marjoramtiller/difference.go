package main

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// printDifference prints one line for each change: "+" for a new object, "~"
// with the changed fields, and "-" for a deleted one.
func (t *tool) printDifference(changes []*fleetpb.Change, deferred []string, current *fleetpb.Snapshot) {
	known := objects(current)
	for _, c := range changes {
		fmt.Fprintln(t.out, describe(c, known))
	}
	for _, text := range deferred {
		fmt.Fprintln(t.out, "later: "+text)
	}
}

type object interface {
	proto.Message
	GetName() string
}

// objects returns the current objects by kind and name.
func objects(s *fleetpb.Snapshot) map[string]object {
	known := map[string]object{}
	for _, o := range s.Pools {
		known["pool "+o.Name] = o
	}
	for _, o := range s.Hosts {
		known["host "+o.Name] = o
	}
	for _, o := range s.Jobs {
		known["job "+o.Name] = o
	}
	for _, o := range s.Waves {
		known["wave "+o.Name] = o
	}
	for _, o := range s.Teams {
		known["team "+o.Name] = o
	}
	return known
}

func describe(c *fleetpb.Change, known map[string]object) string {
	m := c.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if kind, deleted := strings.CutPrefix(string(field.Name()), "delete_"); deleted {
		return "- " + kind + " " + m.Get(field).String()
	}
	desired := m.Get(field).Message().Interface().(object)
	id := string(field.Name()) + " " + desired.GetName()
	have, exists := known[id]
	if !exists {
		return "+ " + id
	}
	return "~ " + id + ": " + strings.Join(changedFields(have, desired), ", ")
}

func changedFields(have, desired proto.Message) []string {
	var list []string
	a, b := have.ProtoReflect(), desired.ProtoReflect()
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if a.Get(f).Equal(b.Get(f)) {
			continue
		}
		if f.IsList() {
			list = append(list, fmt.Sprintf("%s %s", f.Name(), changedItems(a.Get(f).List(), b.Get(f).List())))
			continue
		}
		list = append(list, fmt.Sprintf("%s %q to %q", f.Name(), a.Get(f).String(), b.Get(f).String()))
	}
	return list
}

func changedItems(have, desired protoreflect.List) string {
	before, after := items(have), items(desired)
	var list []string
	for _, item := range after {
		if !slices.Contains(before, item) {
			list = append(list, "+"+item)
		}
	}
	for _, item := range before {
		if !slices.Contains(after, item) {
			list = append(list, "-"+item)
		}
	}
	if len(list) == 0 {
		return "in another order"
	}
	return strings.Join(list, " ")
}

func items(l protoreflect.List) []string {
	list := make([]string, l.Len())
	for i := range list {
		list[i] = l.Get(i).String()
	}
	return list
}
