package sheet_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/examples"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

const smallSheet = `kind,name,pool,service,spare,promised_hosts,rack,zone,cores,memory_gb,team,count,hosts,not_before,deadline
pool,p,,s,,1,,,,,,,,,
pool,free,,,yes,,,,,,,,,,
team,t,,,,,,,64,256,,,,,
host,h1,p,,,,r1,z1,64,256,,,,,
host,h2,p,,,,r2,z1,64,256,,,,,
host,h3,free,,,,r2,z1,64,256,,,,,
job,j,p,,,,,,4,8,t,2,,,
wave,w,,,,,,,,,,,h1 h2,2026-12-04T22:00:00+08:00,2026-12-05T06:00:00+08:00
`

func parse(t *testing.T, text string) *sheet.Sheet {
	t.Helper()
	s, err := sheet.Parse(strings.NewReader(text), sheet.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// apply returns a copy of the snapshot with the changes applied, as a minimal
// model of the control group. It does not validate the changes.
func apply(t *testing.T, snapshot *fleetpb.Snapshot, changes []*fleetpb.Change) *fleetpb.Snapshot {
	t.Helper()
	snapshot = proto.CloneOf(snapshot)
	snapshot.Version++
	for _, c := range changes {
		switch o := c.Object.(type) {
		case *fleetpb.Change_Pool:
			snapshot.Pools = upsert(snapshot.Pools, o.Pool)
		case *fleetpb.Change_Host:
			if o.Host.State == fleetpb.HostState_HOST_STATE_UNSPECIFIED {
				o.Host.State = fleetpb.HostState_HOST_STATE_ACTIVE
			}
			snapshot.Hosts = upsert(snapshot.Hosts, o.Host)
		case *fleetpb.Change_Job:
			snapshot.Jobs = upsert(snapshot.Jobs, o.Job)
		case *fleetpb.Change_Wave:
			snapshot.Waves = upsert(snapshot.Waves, o.Wave)
		case *fleetpb.Change_Team:
			snapshot.Teams = upsert(snapshot.Teams, o.Team)
		case *fleetpb.Change_DeletePool:
			snapshot.Pools = remove(snapshot.Pools, o.DeletePool)
		case *fleetpb.Change_DeleteHost:
			snapshot.Hosts = remove(snapshot.Hosts, o.DeleteHost)
		case *fleetpb.Change_DeleteJob:
			snapshot.Jobs = remove(snapshot.Jobs, o.DeleteJob)
		case *fleetpb.Change_DeleteWave:
			snapshot.Waves = remove(snapshot.Waves, o.DeleteWave)
		case *fleetpb.Change_DeleteTeam:
			snapshot.Teams = remove(snapshot.Teams, o.DeleteTeam)
		}
	}
	return snapshot
}

type named interface{ GetName() string }

func upsert[T named](list []T, o T) []T { return append(remove(list, o.GetName()), o) }

func remove[T named](list []T, name string) []T {
	var kept []T
	for _, o := range list {
		if o.GetName() != name {
			kept = append(kept, o)
		}
	}
	return kept
}

func find[T named](list []T, name string) (found T) {
	for _, o := range list {
		if o.GetName() == name {
			return o
		}
	}
	return found
}

// Guards against example sheets that cannot be parsed with the column titles of
// their settings, and against a diff that is not empty after the sheet has been
// applied.
func TestExampleSheetsApplyWithoutFurtherChanges(t *testing.T) {
	is := is.New(t)
	for _, user := range []string{"savings", "eventos"} {
		s := exampleSheet(t, user, "", "")
		is.Equal(len(s.Pools), 5)
		is.Equal(len(s.Hosts), 48)
		first := s.Diff(&fleetpb.Snapshot{})
		is.Equal(len(first), len(s.Pools)+len(s.Hosts)+len(s.Jobs)+len(s.Waves)+len(s.Teams))
		is.Equal(len(s.Diff(apply(t, &fleetpb.Snapshot{}, first))), 0)
	}
}

// Guards against a fault that is not reported, or that is reported with the wrong
// row or column.
func TestParseReportsRowAndColumnOfFaults(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"kind,name", "kind,title", `row 1, column "title": is an unknown column`},
		{"kind,name", "kind,kind", `row 1, column "kind": occurs twice`},
		{"host,h1,p,", "host,h1,q,", `row 5, column "pool": pool "q" is not in the sheet`},
		{"host,h2,p", "host,h1,p", `row 6, column "name": host "h1" is already in row 5`},
		{"r2,z1,64,256,,,,,\njob", "r2,z2,64,256,,,,,\njob", `row 7, column "rack": rack "r2" is in availability zone "z1"`},
		{"pool,p,,s,,1", "pool,p,,s,,3", `row 2, column "promised_hosts": 3 hosts are promised but the sheet assigns 2 to the pool`},
		{"pool,p,,s,,1", "pool,p,,s,,-1", `row 2, column "promised_hosts": "-1" is not a whole number`},
		{"pool,p,,s,", "pool,p,,s,maybe", `row 2, column "spare": "maybe" is neither yes nor no`},
		{"pool,p,,s", "pool,p,,", `row 2, column "service": a pool must either have a service or be the spare pool`},
		{"pool,p,,s,,1,,", "pool,p,,s,,1,r1,", `row 2, column "rack": has a value, but a pool does not use it`},
		{"pool,free,,,yes,,", "pool,free,,,yes,1,", `row 3, column "promised_hosts": the spare pool cannot promise hosts`},
		{"job,j,p", "jobs,j,p", `row 8, column "kind": "jobs" is no kind of row`},
		{"t,2,,,", "u,2,,,", `row 8, column "team": team "u" is not in the sheet`},
		{"h1 h2", "h1 h9", `row 9, column "hosts": host "h9" is not in the sheet`},
		{"h1 h2", "h1 h1", `row 9, column "hosts": "h1" is listed twice`},
		{"2026-12-05T06:00:00+08:00", "2026-12-03T06:00:00+08:00", `row 9, column "deadline": is not after`},
		{"2026-12-05T06:00:00+08:00", "tomorrow", `row 9, column "deadline": "tomorrow" is not a time`},
		{"job,j,p,", "job,j,p", `row 8: has 14 cells but the header has 15`},
		{"job,j", "job,\"j", `row 8: is not CSV`},
		{"team,t", "team,a/b", `row 4, column "name": "a/b" is not a name`},
		{smallSheet, smallSheet[:strings.Index(smallSheet, "\n")+1], "sheet: has no rows"},
		{smallSheet, "", "row 1: has no readable header"},
		{smallSheet, "kind,name\n\xff,x\n", "sheet: is not UTF-8"},
		{smallSheet, strings.Repeat("x", sheet.MaxBytes+1), "sheet: is larger than"},
	} {
		text := strings.Replace(smallSheet, c.from, c.to, 1)
		s, err := sheet.Parse(strings.NewReader(text), sheet.Options{})
		var faults *sheet.FaultsError
		if s != nil || !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

// Guards against parsing that stops at the first fault, and against an error
// message without a limit on the faults that it lists.
func TestParseListsManyFaultsUpToTheLimit(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString("kind,name,pool\n")
	for i := range 1000 {
		fmt.Fprintf(&b, "chair,n%d,\n", i)
	}
	_, err := sheet.Parse(strings.NewReader(b.String()), sheet.Options{})
	var faults *sheet.FaultsError
	is.True(errors.As(err, &faults))
	is.Equal(faults.Total, 1000)
	is.Equal(len(faults.Faults), sheet.MaxFaults)
}

// Guards against a sheet with an unlimited number of rows.
func TestParseRejectsTooManyRows(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString("kind,name\n")
	for i := range sheet.MaxRows + 1 {
		fmt.Fprintf(&b, "team,t%d\n", i)
	}
	_, err := sheet.Parse(strings.NewReader(b.String()), sheet.Options{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "has more than 100000 rows"))
}

// BenchmarkParseAndDiff parses a sheet with 16,000 hosts, the scale that the
// system is designed for, and compares it with a state that differs in one host.
func BenchmarkParseAndDiff(b *testing.B) {
	const hosts, pools = 16_000, 47
	var text strings.Builder
	text.WriteString("kind,name,pool,service,spare,promised_hosts,rack,zone,cores,memory_gb\n")
	for i := range pools {
		fmt.Fprintf(&text, "pool,p%d,,s%d,no,200,,,,\n", i, i)
	}
	for i := range hosts {
		fmt.Fprintf(&text, "host,h%d,p%d,,,,r%d,z%d,64,256\n", i, i%pools, i/4, i/800)
	}
	s, err := sheet.Parse(strings.NewReader(text.String()), sheet.Options{})
	if err != nil {
		b.Fatal(err)
	}
	current := &fleetpb.Snapshot{Pools: s.Pools}
	for _, h := range s.Hosts {
		h = proto.CloneOf(h)
		h.State = fleetpb.HostState_HOST_STATE_ACTIVE
		current.Hosts = append(current.Hosts, h)
	}
	current.Hosts[7].Cores = 32
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		parsed, err := sheet.Parse(strings.NewReader(text.String()), sheet.Options{})
		if err != nil {
			b.Fatal(err)
		}
		if changes := parsed.Diff(current); len(changes) != 1 {
			b.Fatalf("Diff returned %d changes, want 1", len(changes))
		}
	}
}

// Guards against a diff that overwrites runtime fields or a wave in progress,
// changes the pool of a host without a drain, or deletes an object in use.
func TestDiffKeepsRuntimeState(t *testing.T) {
	is := is.New(t)
	s := parse(t, smallSheet)
	current := apply(t, &fleetpb.Snapshot{}, s.Diff(&fleetpb.Snapshot{}))
	h1, h2, h3 := find(current.Hosts, "h1"), find(current.Hosts, "h2"), find(current.Hosts, "h3")
	h1.State, h1.Epoch, h1.Wave, h1.ModifiedVersion = fleetpb.HostState_HOST_STATE_DRAINING, 7, "w", 9
	h2.State = fleetpb.HostState_HOST_STATE_FAILED
	h3.Epoch = 3
	find(current.Waves, "w").State = fleetpb.WaveState_WAVE_STATE_RUNNING
	current.Hosts = append(current.Hosts,
		&fleetpb.Host{Name: "old-used", Pool: "old", State: fleetpb.HostState_HOST_STATE_ACTIVE},
		&fleetpb.Host{Name: "old-out", Pool: "gone", State: fleetpb.HostState_HOST_STATE_OUT})
	current.Pools = append(current.Pools, &fleetpb.Pool{Name: "old"}, &fleetpb.Pool{Name: "gone"})
	current.Waves = append(current.Waves, &fleetpb.Wave{Name: "old", State: fleetpb.WaveState_WAVE_STATE_PAUSED})
	is.Equal(len(s.Deferred(current)), 3) // host old-used, pool old, wave old

	text := strings.Replace(smallSheet, "host,h1,p", "host,h1,free", 1)
	text = strings.Replace(text, "host,h3,free", "host,h3,p", 1)
	text = strings.Replace(text, "h1 h2,", "h2,", 1)
	s = parse(t, text)
	changes := s.Diff(current)
	next := apply(t, current, changes)
	for old, home := range map[*fleetpb.Host]string{h1: "free", h3: "p"} {
		want := proto.CloneOf(old) // only the home pool changes, also for a draining host
		want.HomePool = home
		is.True(proto.Equal(find(next.Hosts, old.Name), want))
	}
	is.True(proto.Equal(find(next.Waves, "w"), find(current.Waves, "w")))
	is.True(find(next.Waves, "old") != nil)
	is.True(find(next.Hosts, "old-used") != nil)
	is.True(find(next.Pools, "old") != nil)
	is.True(find(next.Hosts, "old-out") == nil)
	is.True(find(next.Pools, "gone") == nil)
	is.Equal(len(s.Diff(next)), 0)
}

// Guards against changes that the state machine of the control group rejects, or
// that a second application of the same sheet would repeat.
func TestFleetAcceptsChangesOfExampleSheets(t *testing.T) {
	is := is.New(t)
	for _, user := range []string{"savings", "eventos"} {
		f := fleet.New()
		configure := func(s *sheet.Sheet, id string) {
			t.Helper()
			changes := s.Diff(f.State())
			is.True(len(changes) > 0)
			result := &fleetpb.Result{}
			command, err := proto.Marshal(&fleetpb.Command{RequestId: id, Actor: "op", NowUnixMs: 1, Body: &fleetpb.Command_Configure{
				Configure: &fleetpb.Configure{BaseVersion: f.Version(), Changes: changes}}})
			is.NoErr(err)
			is.NoErr(proto.Unmarshal(f.Apply(0, command), result))
			is.Equal(result.Faults, nil)
			is.Equal(result.Kind, fleetpb.Result_KIND_APPLIED)
			is.Equal(len(s.Diff(f.State())), 0)
		}
		s := exampleSheet(t, user, "", "")
		configure(s, "first")

		host := ""
		for _, h := range s.Hosts {
			if h.Pool == "spare" {
				host = h.Name
			}
		}
		service := s.Pools[0].Name
		configure(exampleSheet(t, user, ","+host+",spare,", ","+host+","+service+","), "second")
		moved := f.Host(host)
		is.Equal(moved.Pool, "spare")
		is.Equal(moved.HomePool, service)
		is.Equal(moved.State, fleetpb.HostState_HOST_STATE_ACTIVE)
	}
}

func exampleSheet(t *testing.T, user, from, to string) *sheet.Sheet {
	t.Helper()
	ini, err := examples.Files.ReadFile(user + "/client.ini")
	if err != nil {
		t.Fatal(err)
	}
	client, err := settings.ParseClient(ini)
	if err != nil {
		t.Fatal(err)
	}
	data, err := examples.Files.ReadFile(user + "/sheet.csv")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), from, to, 1)
	s, err := sheet.Parse(strings.NewReader(text), sheet.Options{Titles: client.SheetTitles})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a diff that deletes a host in state out while a wave in progress
// still includes it.
func TestDiffKeepsHostsOfWavesInProgress(t *testing.T) {
	is := is.New(t)
	s := parse(t, smallSheet)
	current := apply(t, &fleetpb.Snapshot{}, s.Diff(&fleetpb.Snapshot{}))
	current.Hosts = append(current.Hosts, &fleetpb.Host{Name: "h9", Pool: "p", State: fleetpb.HostState_HOST_STATE_OUT})
	current.Waves = append(current.Waves, &fleetpb.Wave{Name: "w9", Hosts: []string{"h9"}, State: fleetpb.WaveState_WAVE_STATE_RUNNING})
	is.Equal(len(s.Diff(current)), 0)
}

// Guards against a panic on any input, against Parse returning both a sheet and
// an error or neither, and against a second application that changes something.
func FuzzParse(f *testing.F) {
	randomtest.Add(f, []byte(smallSheet))
	randomtest.Add(f, []byte("\xef\xbb\xbfkind,name\nteam,t\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := sheet.Parse(bytes.NewReader(data), sheet.Options{})
		if (s == nil) == (err == nil) {
			t.Fatal("Parse must return either a sheet or an error")
		}
		if err != nil {
			return
		}
		next := apply(t, &fleetpb.Snapshot{}, s.Diff(&fleetpb.Snapshot{}))
		if changes := s.Diff(next); len(changes) != 0 {
			t.Fatalf("the second application has %d changes", len(changes))
		}
	})
}
