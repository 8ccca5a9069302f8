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

// MaxBytes bounds a settings file.
const MaxBytes = 1 << 20

// Fault is one fault of a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	Message string
	Remedy  string
}

// String names the key, the value and the remedy.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q %s; %s", f.Section, f.Key, f.Value, f.Message, f.Remedy)
}

// FaultsError lists every fault of a file.
type FaultsError struct{ Faults []Fault }

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("settings have %d fault(s):", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a settings file of at most MaxBytes.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the settings file; check its path and permissions")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	return data, nil
}

// values holds the parsed values of one file by section and key.
type values struct {
	program Program
	parsed  map[string]any
	raw     map[string]string
	peers   []Peer
	entries []Peer
	faults  []Fault
}

func (v *values) fault(section, key, value, message, remedy string) {
	v.faults = append(v.faults, Fault{section, key, value, message, remedy})
}

// crossFault reports a fault of a parsed value against other values.
func (v *values) crossFault(section, key, message, remedy string) {
	v.fault(section, key, v.raw[section+"."+key], message, remedy)
}

func get[T any](v *values, section, key string) T {
	value, _ := v.parsed[section+"."+key].(T)
	return value
}

func (v *values) err() error {
	if len(v.faults) == 0 {
		return nil
	}
	return &FaultsError{v.faults}
}

func load(data []byte, program Program) *values {
	v := &values{program: program, parsed: map[string]any{}, raw: map[string]string{}}
	if len(data) > MaxBytes {
		v.fault("", "", "", fmt.Sprintf("the file is larger than %d bytes", MaxBytes), "shorten it")
		return v
	}
	// AllowShadows shows a key that is written twice, which would otherwise
	// silently take the last value.
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true,
		IgnoreInlineComment: true, SkipUnrecognizableLines: false,
	}, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		v.fault("", "", "", "the file is not INI: "+err.Error(), "correct the line")
		return v
	}
	v.checkKnown(file)
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

func (v *values) checkKnown(file *ini.File) {
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
			v.fault(section.Name(), "", "", "is an unknown section", remedy)
			continue
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] && !known[section.Name()+".*"] {
				v.fault(section.Name(), key.Name(), key.Value(), "is an unknown key", remedy)
			}
			if len(key.ValueWithShadows()) > 1 {
				v.fault(section.Name(), key.Name(), strings.Join(key.ValueWithShadows(), ", "), "is written more than once", "keep one line")
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
		v.fault(k.Section, k.Name, "", "is missing", k.Remedy)
		return
	}
	parsed, err := k.parse(value)
	if err != nil {
		v.fault(k.Section, k.Name, value, err.Error(), k.Remedy)
		return
	}
	v.parsed[k.Section+"."+k.Name] = parsed
	v.raw[k.Section+"."+k.Name] = value
}

// readPeers reads a section that has one line for each process.
func (v *values) readPeers(file *ini.File, k Key) {
	list := &v.peers
	if k.Section == "entries" {
		list = &v.entries
	}
	for _, key := range file.Section(k.Section).Keys() {
		if _, err := name(key.Name()); err != nil {
			v.fault(k.Section, key.Name(), key.Value(), "has a key that "+err.Error(), "use letters, digits, '-', '_' and '.'")
			continue
		}
		parsed, err := k.parse(key.Value())
		if err != nil {
			v.fault(k.Section, key.Name(), key.Value(), err.Error(), k.Remedy)
			continue
		}
		a := parsed.(netip.AddrPort)
		if a.Addr().IsUnspecified() {
			v.fault(k.Section, key.Name(), key.Value(), "is an unspecified address", k.Remedy)
			continue
		}
		for _, p := range slices.Concat(v.peers, v.entries) {
			if p.Address == a {
				v.fault(k.Section, key.Name(), key.Value(), "has the address of peer "+p.Name, "give each peer its own address")
			}
		}
		*list = append(*list, Peer{Name: key.Name(), Address: a})
	}
	slices.SortFunc(*list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

func (v *values) identity() Identity {
	return Identity{
		Cluster:  get[string](v, "cluster", "name"),
		Process:  get[string](v, "process", "name"),
		Zone:     get[string](v, "process", "zone"),
		Address:  get[netip.Addr](v, "process", "address"),
		LogLevel: get[string](v, "process", "log_level"),
	}
}

func (v *values) timeouts() Timeouts {
	return Timeouts{
		Call:     get[time.Duration](v, "timeouts", "call"),
		Request:  get[time.Duration](v, "timeouts", "request"),
		Idle:     get[time.Duration](v, "timeouts", "idle"),
		Shutdown: get[time.Duration](v, "timeouts", "shutdown"),
	}
}

// titles returns the titles of one section and reports a title used twice.
func (v *values) titles(section string) map[string]string {
	titles := map[string]string{}
	used := map[string]string{}
	for _, k := range Keys() {
		if k.Section != section {
			continue
		}
		title := get[string](v, section, k.Name)
		if other, taken := used[title]; taken && title != "" {
			v.crossFault(section, k.Name, "is also the title of "+other, "give each column its own title")
		}
		used[title] = k.Name
		titles[k.Name] = title
	}
	return titles
}

// checkListeners reports two listeners of one address.
func (v *values) checkListeners(keys ...string) {
	used := map[netip.AddrPort]string{}
	for _, key := range keys {
		a := get[netip.AddrPort](v, "listeners", key)
		if !a.IsValid() {
			continue
		}
		if other, taken := used[a]; taken {
			v.crossFault("listeners", key, "is also the address of the listener "+other, "give each listener its own port")
		}
		used[a] = key
	}
}
