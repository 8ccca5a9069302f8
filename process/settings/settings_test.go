package settings

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/examples"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

var update = flag.Bool("update", false, "write docs/settings.md from the table of keys")

func example(t testing.TB, path string) []byte {
	data, err := examples.Files.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a settings page that differs from the table of keys.
func TestDocumentIsCurrent(t *testing.T) {
	is := is.New(t)
	const path = "../../docs/settings.md"
	if *update {
		is.NoErr(os.WriteFile(path, []byte(Document()), 0o644))
	}
	page, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(page), Document())
}

// Guards against duplicate keys, against keys without documentation and against
// defaults that the parser of their key rejects.
func TestKeysAreComplete(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, k := range Keys() {
		id := k.Section + "." + k.Name
		is.True(!seen[id])
		seen[id] = true
		is.True(k.Doc != "" && k.Remedy != "" && k.Programs != 0 && k.parse != nil)
		if !k.Required && k.Name != "*" {
			_, err := k.parse(k.Default)
			is.NoErr(err)
		}
	}
}

// Guards against example files that are no longer valid.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, user := range []string{"savings", "eventos"} {
		control, err := ParseControl(example(t, user+"/control.ini"))
		is.NoErr(err)
		is.Equal(len(control.Voters), 3)
		is.Equal(len(control.Peers), 3)
		is.Equal(len(control.Entries), 6)
		is.Equal(control.Cluster, user)
		is.Equal(control.OperatorsListener.String(), "10.0.1.10:7401")
		entry, err := ParseEntry(example(t, user+"/entry.ini"))
		is.NoErr(err)
		is.Equal(entry.RetryBudgetPercent, 10)
		is.Equal(entry.LedgerGroups, control.LedgerGroups)
		client, err := ParseClient(example(t, user+"/client.ini"))
		is.NoErr(err)
		is.Equal(len(client.Control), 3)
		is.True(client.SheetTitles["kind"] != "kind")
	}
}

// Guards against a check that reports only the first fault of a file, and against a
// fault that does not name the key, the value and the remedy.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	text := string(example(t, "savings/control.ini"))
	text = strings.Replace(text, "address = 10.0.1.10\n", "address = control-a.example\n", 1)
	text = strings.Replace(text, "peers = 10.0.1.10:7400\n", "peers = 10.0.1.10:7401\n", 1)
	text = strings.Replace(text, "platform_url", "ledger_groups = -1\nplatform_url", 1)
	text = strings.Replace(text, "voters = control-a control-b", "voters = control-a control-x", 1)
	text = strings.Replace(text, "data_folder", "data_foldr", 1)
	text = strings.Replace(text, "entry-6 =", "control-b =", 1)
	text += "\n[surprise]\nkey = 1\n[process]\nzone = ub-z\n"
	control, err := ParseControl([]byte(text))
	is.True(control == nil)
	var faults *FaultsError
	is.True(errors.As(err, &faults))
	for _, want := range []string{
		`[process] address = "control-a.example" is not an IP address`,
		`[listeners] operators = "10.0.1.10:7401" is also the address of the listener peers`,
		`[control] ledger_groups = "-1"`,
		`names control-x, which has no line in [peers]; add its address`,
		`[entries] control-b = "10.0.3.11:7410" is the name of a control process`,
		`[control] data_foldr = "/var/lib/marjoramtiller" is an unknown key`,
		`[control] data_folder = "" is missing; write an absolute path`,
		`[surprise]  = "" is an unknown section`,
		`[process] zone = "ub-a, ub-z" is written more than once`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no fault %q in:\n%v", want, err)
		}
	}
	is.Equal(len(faults.Faults), 9)
}

// Guards against accepting a file that is empty, too large or not an INI file.
func TestInvalidFilesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "no key", "[open", strings.Repeat("; comment\n", MaxBytes/10+1)} {
		_, err := ParseEntry([]byte(text))
		var faults *FaultsError
		is.True(errors.As(err, &faults))
	}
}

// Guards against two columns with the same title, which could not be told apart in a
// sheet.
func TestDuplicateTitleIsRejected(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(string(example(t, "eventos/client.ini")), "rack = Rack", "rack = Zona", 1)
	_, err := ParseClient([]byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `[sheet-titles] zone = "Zona" is also the title of rack`))
}

// Guards against files that cause a panic, and against a result that has both or
// neither of settings and an error.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"control", "entry", "client"} {
		randomtest.Add(f, example(f, "savings/"+name+".ini"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		control, err := ParseControl(data)
		if (control == nil) == (err == nil) {
			t.Fatal("control: want either settings or an error")
		}
		entry, err := ParseEntry(data)
		if (entry == nil) == (err == nil) {
			t.Fatal("entry: want either settings or an error")
		}
		client, err := ParseClient(data)
		if (client == nil) == (err == nil) {
			t.Fatal("client: want either settings or an error")
		}
	})
}
