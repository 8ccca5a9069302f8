// Package storage stores the durable state of one consensus group in one folder:
// the log, in segments with a CRC for each record, the hard state and the latest
// snapshot.
//
// A record holds one batch, which is written and synced as a unit. A crash can
// therefore leave only the last record of the last segment incomplete, and Open
// truncates it. Any other corruption is an error whose message names the remedy.
package storage

import (
	"errors"
	"io"
	"os"
	"sort"
)

// File is an open file.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS has the filesystem operations that a Store uses. Names are full paths.
type FS interface {
	MkdirAll(dir string) error
	// Append opens a file for appending and creates it if it does not exist.
	Append(name string) (File, error)
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Overwrite replaces bytes of a file from offset on by data, within the file's size,
	// and syncs the file.
	Overwrite(name string, offset int64, data []byte) error
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the sorted base names of the files in dir.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// OS is the operating system's filesystem.
type OS struct{}

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirPerm) }

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePerm)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_TRUNC|os.O_CREATE|os.O_WRONLY, filePerm)
}

// Overwrite implements FS.
func (OS) Overwrite(name string, offset int64, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(data, offset)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
