// Package members keeps the membership of a control group whose processes know
// each other only through a few seed addresses: a replica's identity, how it
// finds the group and joins it, and how the leader promotes and drops replicas.
package members

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// separator stands in a replica's name between its address and its identity.
const separator = "~"

// founder is the identity of the replicas that found the group.
const founder = "founder"

const identityFile = "identity"

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// Name returns the name of a replica that is reached at an address.
func Name(address, identity string) string { return address + separator + identity }

// Address returns the address in a process's name. It fits wire.Options.Resolve.
func Address(name string) (string, bool) {
	address, _, found := strings.Cut(name, separator)
	return address, found
}

// Founders returns the names of the replicas that found a group from its seeds.
func Founders(seeds []string) []string {
	names := make([]string, len(seeds))
	for i, address := range seeds {
		names[i] = Name(address, founder)
	}
	slices.Sort(names)
	return names
}

// Identify returns the name of the replica whose folder is dir and the founding
// voters, which are empty for a replica that joins. The name is new for a folder
// without one: state that was lost must not come back under the name that voted.
// Only a seed of a group that starts for the first time is a founder. The name
// is durable when Identify returns.
func Identify(dir, address string, seeds []string, bootstrap bool) (name string, founders []string, err error) {
	path := filepath.Join(dir, identityFile)
	data, err := os.ReadFile(path)
	if err == nil && len(data) > 0 {
		identity := strings.TrimSpace(string(data))
		if identity == founder {
			founders = Founders(seeds)
		}
		return Name(address, identity), founders, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", nil, errors.Wrap(err, "read the replica's identity; check the data folder")
	}
	identity := founder
	if !bootstrap || !slices.Contains(seeds, address) {
		identity = newIdentity()
	} else {
		founders = Founders(seeds)
	}
	return Name(address, identity), founders, errors.Wrap(writeIdentity(dir, path, identity), "store the replica's identity; check the data folder")
}

func newIdentity() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func writeIdentity(dir, path, identity string) error {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return err
	}
	part := path + ".new"
	f, err := os.OpenFile(part, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(identity + "\n"); err != nil {
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
	if err := os.Rename(part, path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Host returns the IP in a replica's name.
func Host(name string) string {
	address, _ := Address(name)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// Any stands for the identity of whichever process answers at an address.
const Any = "any"

// Matches reports whether the process that answers is one that was called: the
// same, or any process at the address. It fits wire.Options.Matches.
func Matches(called, answers string) bool {
	if called == answers {
		return true
	}
	address, identity, _ := strings.Cut(called, separator)
	other, found := Address(answers)
	return found && identity == Any && address == other
}
