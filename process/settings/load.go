package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Fault describes one fault of a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	Message string
	Remedy  string
}

// String returns the key, its value, what is wrong with it and the remedy.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q %s; %s", f.Section, f.Key, f.Value, f.Message, f.Remedy)
}

// FaultsError reports all faults of a file.
type FaultsError struct{ Faults []Fault }

// Error lists the faults, one on each line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("settings have %d fault(s):", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a settings file. Of a file above MaxBytes it returns MaxBytes+1
// bytes, which the Parse functions report as too large.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot open the settings file; check its path and permissions")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the settings file")
	}
	return data, nil
}

// values holds the values and the faults of one file. The keys of its maps are
// "section.key".
type values struct {
	program Program
	parsed  map[string]any
	raw     map[string]string
	peers   []Peer
	entries []Peer
	faults  []Fault
}

func (v *values) addFault(section, key, value, message, remedy string) {
	v.faults = append(v.faults, Fault{section, key, value, message, remedy})
}

// addConflict adds a fault for a value that is valid by itself but conflicts with
// other values.
func (v *values) addConflict(section, key, message, remedy string) {
	v.addFault(section, key, v.raw[section+"."+key], message, remedy)
}

func parsedValue[T any](v *values, section, key string) T {
	value, _ := v.parsed[section+"."+key].(T)
	return value
}

func (v *values) faultsError() error {
	if len(v.faults) == 0 {
		return nil
	}
	return &FaultsError{v.faults}
}

func parseFile(data []byte, program Program) *values {
	v := &values{program: program, parsed: map[string]any{}, raw: map[string]string{}}
	if len(data) > MaxBytes {
		v.addFault("", "", "", fmt.Sprintf("the file is larger than %d bytes", MaxBytes), "shorten it")
		return v
	}
	// AllowShadows returns all values of a key that is written more than once, so
	// that it is reported. Otherwise the last value would silently be used.
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true,
		IgnoreInlineComment: true, SkipUnrecognizableLines: false,
	}, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		v.addFault("", "", "", "the file is not a valid INI file: "+err.Error(), "correct the line")
		return v
	}
	v.checkUnknownKeys(file)
	for _, k := range Keys() {
		if k.Programs&program == 0 {
			continue
		}
		if k.Name == "*" {
			v.readPeers(file, k)
			continue
		}
		v.readKey(file, k)
	}
	return v
}

func (v *values) checkUnknownKeys(file *ini.File) {
	known := map[string]bool{}
	for _, k := range Keys() {
		if k.Programs&v.program != 0 {
			known[k.Section] = true
			known[k.Section+"."+k.Name] = true
		}
	}
	remedy := "remove it or correct its spelling; docs/settings.md lists all keys of this program"
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known[section.Name()] {
			v.addFault(section.Name(), "", "", "is an unknown section", remedy)
			continue
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] && !known[section.Name()+".*"] {
				v.addFault(section.Name(), key.Name(), key.Value(), "is an unknown key", remedy)
			}
			if len(key.ValueWithShadows()) > 1 {
				v.addFault(section.Name(), key.Name(), strings.Join(key.ValueWithShadows(), ", "), "is written more than once", "keep one line")
			}
		}
	}
}

func (v *values) readKey(file *ini.File, k Key) {
	value := k.Default
	section := file.Section(k.Section)
	if section.HasKey(k.Name) {
		value = section.Key(k.Name).Value()
	} else if k.Required {
		v.addFault(k.Section, k.Name, "", "is missing", k.Remedy)
		return
	}
	parsed, err := k.parse(value)
	if err != nil {
		v.addFault(k.Section, k.Name, value, err.Error(), k.Remedy)
		return
	}
	v.parsed[k.Section+"."+k.Name] = parsed
	v.raw[k.Section+"."+k.Name] = value
}

// readPeers reads a section with one line for each process: its name and address.
func (v *values) readPeers(file *ini.File, k Key) {
	list := &v.peers
	if k.Section == "entries" {
		list = &v.entries
	}
	for _, key := range file.Section(k.Section).Keys() {
		if _, err := parseName(key.Name()); err != nil {
			v.addFault(k.Section, key.Name(), key.Value(), "has a key that "+err.Error(), "use letters, digits, '-', '_' and '.'")
			continue
		}
		parsed, err := k.parse(key.Value())
		if err != nil {
			v.addFault(k.Section, key.Name(), key.Value(), err.Error(), k.Remedy)
			continue
		}
		a := parsed.(netip.AddrPort)
		if a.Addr().IsUnspecified() {
			v.addFault(k.Section, key.Name(), key.Value(), "is an unspecified address", k.Remedy)
			continue
		}
		for _, p := range slices.Concat(v.peers, v.entries) {
			if p.Address == a {
				v.addFault(k.Section, key.Name(), key.Value(), "has the address of peer "+p.Name, "give each peer its own address")
			}
		}
		*list = append(*list, Peer{Name: key.Name(), Address: a})
	}
	slices.SortFunc(*list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

func (v *values) identity() Identity {
	return Identity{
		Cluster:  parsedValue[string](v, "cluster", "name"),
		Process:  parsedValue[string](v, "process", "name"),
		Zone:     parsedValue[string](v, "process", "zone"),
		Address:  parsedValue[netip.Addr](v, "process", "address"),
		LogLevel: parsedValue[string](v, "process", "log_level"),
	}
}

func (v *values) timeouts() Timeouts {
	return Timeouts{
		Call:     parsedValue[time.Duration](v, "timeouts", "call"),
		Request:  parsedValue[time.Duration](v, "timeouts", "request"),
		Idle:     parsedValue[time.Duration](v, "timeouts", "idle"),
		Shutdown: parsedValue[time.Duration](v, "timeouts", "shutdown"),
	}
}

// titles returns the titles of one section by column. It adds a fault for a title
// of two columns.
func (v *values) titles(section string) map[string]string {
	titles := map[string]string{}
	used := map[string]string{}
	for _, k := range Keys() {
		if k.Section != section {
			continue
		}
		title := parsedValue[string](v, section, k.Name)
		if other, taken := used[title]; taken && title != "" {
			v.addConflict(section, k.Name, "is also the title of "+other, "give each column its own title")
		}
		used[title] = k.Name
		titles[k.Name] = title
	}
	return titles
}

// checkListeners adds a fault for each listener that has the address of another one.
func (v *values) checkListeners(keys ...string) {
	used := map[netip.AddrPort]string{}
	for _, key := range keys {
		a := parsedValue[netip.AddrPort](v, "listeners", key)
		if !a.IsValid() {
			continue
		}
		if other, taken := used[a]; taken {
			v.addConflict("listeners", key, "is also the address of the listener "+other, "give each listener its own port")
		}
		used[a] = key
	}
}
