package storage

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

var (
	errNoSpace = errors.New("no space left on device")
	errSync    = errors.New("input/output error")
)

// memFS is an in-memory filesystem that simulates faults. After a crash a file has
// its synced data and a prefix of the unsynced data.
type memFS struct {
	files      map[string]*memFile
	spaceBytes int // bytes that can still be written, unlimited if negative
	failSync   bool
	syncDirErr error // of the next SyncDir
	syncs      int
	before     func() // called before each change of a file or folder
}

func (m *memFS) change() {
	if m.before != nil {
		m.before()
	}
}

// copy returns a copy of the filesystem after a crash at this moment, which keeps
// up to keep unsynced bytes of each file.
func (m *memFS) copy(keep int) *memFS {
	c := newMemFS()
	for name, f := range m.files {
		c.files[name] = &memFile{fs: c, data: slices.Clone(f.data), synced: slices.Clone(f.synced)}
	}
	c.crash(keep)
	return c
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS { return &memFS{files: map[string]*memFile{}, spaceBytes: -1} }

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Append(name string) (File, error) {
	if m.files[name] == nil {
		m.files[name] = &memFile{fs: m}
	}
	return m.files[name], nil
}

func (m *memFS) Create(name string) (File, error) {
	m.change()
	m.files[name] = &memFile{fs: m}
	return m.files[name], nil
}

func (m *memFS) Overwrite(name string, offset int64, data []byte) error {
	f := m.files[name]
	copy(f.data[offset:], data)
	return f.Sync()
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f := m.files[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Rename(from, to string) error {
	m.change()
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.change()
	delete(m.files, name)
	return nil
}

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) SyncDir(string) error {
	m.change()
	err := m.syncDirErr
	m.syncDirErr = nil
	return err
}

// crash discards the unsynced data of each file except for its first keep bytes.
func (m *memFS) crash(keep int) {
	for _, f := range m.files {
		n := min(len(f.synced)+keep, len(f.data))
		f.data = slices.Clone(f.data[:n])
		f.synced = slices.Clone(f.data)
	}
}

// segments returns the sorted names of the log segments.
func (m *memFS) segments() []string {
	var names []string
	for name := range m.files {
		if strings.HasPrefix(filepath.Base(name), "log-") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *memFile) Write(p []byte) (int, error) {
	f.fs.change()
	n := len(p)
	if f.fs.spaceBytes >= 0 {
		n = min(n, f.fs.spaceBytes)
		f.fs.spaceBytes -= n
	}
	f.data = append(f.data, p[:n]...)
	if n < len(p) {
		return n, errNoSpace
	}
	return n, nil
}

func (f *memFile) Close() error { return nil }

func (f *memFile) Sync() error {
	f.fs.change()
	f.fs.syncs++
	if f.fs.failSync {
		f.fs.failSync = false
		return errSync
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}
