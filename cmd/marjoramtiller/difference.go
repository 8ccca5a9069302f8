package main

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// printDifference prints one line for each change: "+" for a new object, "~" with
// the changed fields, and "-" for a deleted object. Deferred changes follow as "later".
func (t *tool) printDifference(changes []*fleetpb.Change, deferred []string, current *fleetpb.Snapshot) {
	existing := objectsByID(current)
	for _, c := range changes {
		fmt.Fprintln(t.out, describe(c, existing))
	}
	for _, text := range deferred {
		fmt.Fprintln(t.out, "later: "+text)
	}
}

type object interface {
	proto.Message
	GetName() string
}

// objectsByID returns the objects of a configuration by kind and name.
func objectsByID(s *fleetpb.Snapshot) map[string]object {
	existing := map[string]object{}
	for _, o := range s.Pools {
		existing["pool "+o.Name] = o
	}
	for _, o := range s.Hosts {
		existing["host "+o.Name] = o
	}
	for _, o := range s.Jobs {
		existing["job "+o.Name] = o
	}
	for _, o := range s.Waves {
		existing["wave "+o.Name] = o
	}
	for _, o := range s.Teams {
		existing["team "+o.Name] = o
	}
	return existing
}

func describe(c *fleetpb.Change, existing map[string]object) string {
	m := c.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if kind, deleted := strings.CutPrefix(string(field.Name()), "delete_"); deleted {
		return "- " + kind + " " + m.Get(field).String()
	}
	desired := m.Get(field).Message().Interface().(object)
	id := string(field.Name()) + " " + desired.GetName()
	before, exists := existing[id]
	if !exists {
		return "+ " + id
	}
	return "~ " + id + ": " + strings.Join(changedFields(before, desired), ", ")
}

func changedFields(before, desired proto.Message) []string {
	var list []string
	a, b := before.ProtoReflect(), desired.ProtoReflect()
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

func changedItems(oldList, newList protoreflect.List) string {
	before, after := items(oldList), items(newList)
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
