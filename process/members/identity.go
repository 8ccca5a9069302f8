// Package members manages the membership of a control group whose processes are
// configured with only a few seed addresses. It creates and stores the identity of
// a replica, builds the names by which replicas are called, and decides which
// replicas the leader adds, promotes and removes.
package members

import (
	"crypto/rand"
	"encoding/hex"
	"io/fs"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/process/storage"
)

// separator separates the address from the identity in a replica's name.
const separator = "~"

// founderIdentity is the identity of the founding voters of a group.
const founderIdentity = "founder"

const identityFile = "identity"

var identityPattern = regexp.MustCompile(`^(` + founderIdentity + `|[0-9a-f]{16})$`)

// Name returns the name of the replica that has the identity and is reached at the
// address.
func Name(address, identity string) string { return address + separator + identity }

// Address returns the address in a process's name, and false if the name contains
// none. It can be used as wire.Options.Resolve.
func Address(name string) (string, bool) {
	address, _, found := strings.Cut(name, separator)
	return address, found
}

// Founders returns the names of the founding voters of a group with these seed
// addresses, sorted.
func Founders(seeds []string) []string {
	names := make([]string, len(seeds))
	for i, address := range seeds {
		names[i] = Name(address, founderIdentity)
	}
	slices.Sort(names)
	return names
}

// LoadOrCreateIdentity returns the name of the replica whose folder is dir, and the
// founding voters, which are empty for a replica that joins an existing group. If
// the folder contains no identity, a new one is created and stored: a replica that
// has lost its state must not return under a name under which it may have voted. Only
// a seed of a group that starts for the first time (bootstrap) is a founder. The name
// is durable when LoadOrCreateIdentity returns.
func LoadOrCreateIdentity(dir, address string, seeds []string, bootstrap bool) (name string, founders []string, err error) {
	return loadOrCreateIdentity(storage.OS{}, dir, address, seeds, bootstrap)
}

func loadOrCreateIdentity(fsys storage.FS, dir, address string, seeds []string, bootstrap bool) (name string, founders []string, err error) {
	identity, err := readIdentity(fsys, dir)
	if err != nil {
		return "", nil, errors.Wrap(err, "read the replica's identity from the data folder; check that the folder is readable")
	}
	if identity == "" {
		identity = newIdentity()
		if bootstrap && slices.Contains(seeds, address) {
			identity = founderIdentity
		}
		if err := writeIdentity(fsys, dir, identity); err != nil {
			return "", nil, errors.Wrap(err, "store the replica's identity in the data folder; check that the folder is writable and the disk has space")
		}
	}
	if identity == founderIdentity {
		founders = Founders(seeds)
	}
	return Name(address, identity), founders, nil
}

// readIdentity returns the stored identity, or "" if there is none. A process that was
// killed may have renamed the file without a sync of the folder, so the folder is synced
// before the identity is used.
func readIdentity(fsys storage.FS, dir string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(data) == 0 {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	identity := strings.TrimSpace(string(data))
	if !identityPattern.MatchString(identity) {
		return "", errors.Errorf("the file %s is damaged; remove the data folder, so that the replica joins under a new name", identityFile)
	}
	return identity, fsys.SyncDir(dir)
}

func newIdentity() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func writeIdentity(fsys storage.FS, dir, identity string) error {
	if err := storage.CreateFolder(fsys, dir); err != nil {
		return err
	}
	path := filepath.Join(dir, identityFile)
	tempPath := path + ".new"
	f, err := fsys.Create(tempPath)
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte(identity + "\n")); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fsys.Rename(tempPath, path); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}

// Host returns the IP address in a replica's name, or "" if there is none.
func Host(name string) string {
	address, _ := Address(name)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// AnyIdentity in a process's name matches the identity of any process that is
// reached at the address.
const AnyIdentity = "any"

// Matches reports whether the actual name of the process that was reached satisfies
// the expected name: the names are equal, or the expected identity is AnyIdentity and
// the addresses are equal. It can be used as wire.Options.Matches.
func Matches(expected, actual string) bool {
	if expected == actual {
		return true
	}
	address, identity, _ := strings.Cut(expected, separator)
	actualAddress, found := Address(actual)
	return found && identity == AnyIdentity && address == actualAddress
}
