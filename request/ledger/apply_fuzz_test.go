package ledger

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against an entry of the log that makes a replica panic or stop, and against two
// replicas that differ after it because one was restored from a snapshot.
func FuzzApply(f *testing.F) {
	k := keyAt(startMs, 1)
	hash := []byte("0123456789abcdef0123456789abcdef")
	var seeds [][]byte
	for _, c := range []*ledgerpb.Command{
		{Body: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{Key: k, Entry: "a", BootId: "1", Attempt: 1, Fingerprint: hash}}},
		{Body: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{Key: k, Entry: "a", BootId: "1", Attempt: 1, Answer: &ledgerpb.Answer{Status: 200}}}},
		{Body: &ledgerpb.Command_Abort{Abort: &ledgerpb.Abort{Key: k, Entry: "a", BootId: "1", Attempt: 1}}},
		{Body: &ledgerpb.Command_EntryBoot{EntryBoot: &ledgerpb.EntryBoot{Entry: "a", BootId: "2"}}},
		{Body: &ledgerpb.Command_Begin{}}, {Body: &ledgerpb.Command_Finish{}}, {Body: &ledgerpb.Command_Abort{}}, {Body: &ledgerpb.Command_EntryBoot{}}, {},
	} {
		c.NowUnixMs = startMs
		seeds = append(seeds, marshal(c))
	}
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		first, second := New(4), New(4)
		commands := [][]byte{seeds[0], data, seeds[1], data, seeds[3]}
		for _, command := range commands {
			if a, b := first.Apply(0, command), second.Apply(0, command); !bytes.Equal(a, b) || a == nil {
				t.Fatalf("two replicas have the results %q and %q", a, b)
			}
			if first.Broken() != nil {
				t.Fatal(first.Broken())
			}
			snapshot, err := first.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			second = New(4)
			if err := second.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if again, _ := second.Snapshot(); !bytes.Equal(snapshot, again) {
				t.Fatal("the snapshot of a restored replica differs")
			}
		}
		if proto.Unmarshal(data, &ledgerpb.Command{}) != nil {
			undecodable, empty := New(4), New(4)
			undecodable.Apply(0, data)
			a, _ := undecodable.Snapshot()
			b, _ := empty.Snapshot()
			if !bytes.Equal(a, b) {
				t.Fatal("a command that can't be decoded changes the state")
			}
		}
	}, seeds...)
}
