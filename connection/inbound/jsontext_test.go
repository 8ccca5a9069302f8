package inbound

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// Guards against text in strings that counts as structure, and against parts that are missed.
func TestCountsOfJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := drawValue(t, 3)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		counts := CountJSON(text)
		objects, values := countParts(value)
		if counts.Objects != objects || counts.Values < values {
			t.Fatalf("%s: counted %+v; it has %d objects and %d values", text, counts, objects, values)
		}
	})
}

func drawValue(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 3).Draw(t, "kind")
	switch {
	case kind == 0 && depth > 0:
		list := []any{}
		for range rapid.IntRange(0, 3).Draw(t, "length") {
			list = append(list, drawValue(t, depth-1))
		}
		return list
	case kind == 1 && depth > 0:
		members := map[string]any{}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			members[rapid.String().Draw(t, "name")] = drawValue(t, depth-1)
		}
		return members
	case kind == 2:
		return rapid.StringOf(rapid.SampledFrom([]rune(`{}[],"\:a`))).Draw(t, "text")
	default:
		return rapid.Int().Draw(t, "number")
	}
}

// countParts returns the objects of a value, and the elements and members below it.
func countParts(value any) (objects, values int) {
	var below []any
	switch v := value.(type) {
	case []any:
		below = v
	case map[string]any:
		objects = 1
		for _, member := range v {
			below = append(below, member)
		}
	}
	values = len(below)
	for _, part := range below {
		o, n := countParts(part)
		objects, values = objects+o, values+n
	}
	return objects, values
}
