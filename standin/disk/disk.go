// Package disk is an in-memory file system for tests of durability. It separates what
// processes see from what a loss of power leaves:
//   - The end of a process changes nothing: written bytes, new files, renames and
//     removals stay visible to the next process, synced or not.
//   - A loss of power keeps what was synced. Each unsynced page of a file and each
//     unsynced change of a folder is kept or lost on its own, in any order.
//   - A failed sync of a file leaves its unsynced pages readable, and later syncs no
//     longer write them, as Linux does with pages whose write has failed.
//
// A disk can have a capacity. A write beyond it stores what fits and fails.
package disk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"syscall"
)

// pageBytes is the size of the pages of a file. It is far below that of a real disk, so
// that short records span several pages.
const pageBytes = 32

// Errors of the operations.
var (
	ErrProcessEnded = errors.New("disk: the process has ended")
	ErrSync         = errors.New("disk: input/output error")
)

// Disk holds files and folders. It is not safe for concurrent use.
type Disk struct {
	root     *folder
	rng      *rand.Rand
	capacity int // bytes of all files, 0: unlimited
	peak     int // the most bytes that all files had after a write
}

// SetCapacity limits the bytes of all files. 0 removes the limit.
func (d *Disk) SetCapacity(bytes int) { d.capacity = bytes }

// Used returns the bytes of all files.
func (d *Disk) Used() int { return d.root.used() }

// Peak returns the most bytes that all files have had at once.
func (d *Disk) Peak() int { return d.peak }

func (f *folder) used() int {
	total := 0
	for _, entry := range f.entries {
		switch e := entry.(type) {
		case *folder:
			total += e.used()
		case *inode:
			total += len(e.data)
		}
	}
	return total
}

// folder is a folder as processes see it, and the changes that are not synced yet.
type folder struct {
	entries map[string]any // *folder or *inode, by name
	synced  map[string]any
	changes []change // since the last sync, oldest first
}

// change sets the entry of a name. A rename also removes the entry of another name. A nil
// node removes the entry.
type change struct {
	name    string
	node    any
	removed string
}

type inode struct {
	data   []byte
	synced []byte
	dirty  map[int]bool // numbers of the pages that the next sync writes
	resize bool         // the size differs from that on the disk
}

func newFolder() *folder {
	return &folder{entries: map[string]any{}, synced: map[string]any{}}
}

// New returns an empty disk. The seed determines what a loss of power keeps.
func New(seed uint64) *Disk {
	return &Disk{root: newFolder(), rng: rand.New(rand.NewPCG(seed, 0))}
}

// LosePower discards the unsynced changes, except for a random part of them. All
// processes must have ended.
func (d *Disk) LosePower() { d.losePower(d.root, d.coin) }

// LosePowerKeepingNothing discards all unsynced changes. All processes must have ended.
func (d *Disk) LosePowerKeepingNothing() { d.losePower(d.root, func() bool { return false }) }

func (d *Disk) coin() bool { return d.rng.IntN(2) == 0 }

func (d *Disk) losePower(f *folder, keep func() bool) {
	for _, c := range f.changes {
		if keep() {
			c.apply(f.synced)
		}
	}
	f.changes = nil
	f.entries = cloneEntries(f.synced)
	names := make([]string, 0, len(f.entries))
	for name := range f.entries {
		names = append(names, name)
	}
	slices.Sort(names) // so that a seed determines the outcome
	for _, name := range names {
		switch node := f.entries[name].(type) {
		case *folder:
			d.losePower(node, keep)
		case *inode:
			node.losePower(keep)
		}
	}
}

func (c change) apply(entries map[string]any) {
	if c.removed != "" {
		delete(entries, c.removed)
	}
	if c.node == nil {
		delete(entries, c.name)
		return
	}
	entries[c.name] = c.node
}

func cloneEntries(entries map[string]any) map[string]any {
	clone := make(map[string]any, len(entries))
	for name, node := range entries {
		clone[name] = node
	}
	return clone
}

func (f *folder) change(c change) {
	c.apply(f.entries)
	f.changes = append(f.changes, c)
}

func (f *folder) sync() {
	f.synced = cloneEntries(f.entries)
	f.changes = nil
}

// losePower keeps some of the unsynced pages. A page that is lost within the kept size
// reads as it was, or as zeros if it was never written.
func (n *inode) losePower(keep func() bool) {
	size := len(n.synced)
	if n.resize && keep() {
		size = len(n.data)
	}
	content := make([]byte, size)
	copy(content, n.synced)
	for page := range pages(max(len(n.data), size)) {
		if n.dirty[page] && keep() {
			copyPage(content, n.data, page)
		}
	}
	n.data, n.synced = content, slices.Clone(content)
	n.dirty, n.resize = map[int]bool{}, false
}

func (n *inode) sync() {
	content := make([]byte, len(n.synced))
	copy(content, n.synced)
	if n.resize {
		content = make([]byte, len(n.data))
		copy(content, n.synced)
	}
	for page := range n.dirty {
		copyPage(content, n.data, page)
	}
	n.synced = content
	n.dirty, n.resize = map[int]bool{}, false
}

// failSync marks the pages as written although they are not.
func (n *inode) failSync() { n.dirty = map[int]bool{} }

func pages(size int) int { return (size + pageBytes - 1) / pageBytes }

func copyPage(to, from []byte, page int) {
	start := page * pageBytes
	end := min(start+pageBytes, len(to), len(from))
	if start < end {
		copy(to[start:end], from[start:end])
	}
}

// Process is the view of one process on a disk. Its operations fail once it has ended.
type Process struct {
	disk       *Disk
	ended      bool
	operations int // that the process carries out before it ends; unlimited if negative
	failSync   bool
	syncFailed bool
}

// Start returns the view of a new process.
func (d *Disk) Start() *Process { return &Process{disk: d, operations: -1} }

// End ends the process, as SIGKILL does.
func (p *Process) End() { p.ended, p.operations = true, -1 }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool { return p.ended }

// EndAfter ends the process in place of one of its later changes, after n others. A
// write is then carried out in part.
func (p *Process) EndAfter(n int) { p.operations = n }

// FailNextSync makes the next sync of a file fail.
func (p *Process) FailNextSync() { p.failSync = true }

// SyncFailed reports whether a sync of a file has failed.
func (p *Process) SyncFailed() bool { return p.syncFailed }

// begin counts an operation that changes the disk. It returns an error if the process
// ends instead.
func (p *Process) begin() error {
	if p.operations == 0 {
		p.End()
	}
	if p.ended {
		return ErrProcessEnded
	}
	if p.operations > 0 {
		p.operations--
	}
	return nil
}

func (p *Process) folder(name string) (*folder, error) {
	f := p.disk.root
	for part := range strings.SplitSeq(strings.Trim(name, "/"), "/") {
		if part == "" || part == "." {
			continue
		}
		next, ok := f.entries[part].(*folder)
		if !ok {
			return nil, notFound(name)
		}
		f = next
	}
	return f, nil
}

func notFound(name string) error {
	return &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

// MkdirAll creates a folder and its parents.
func (p *Process) MkdirAll(name string) error {
	f := p.disk.root
	for part := range strings.SplitSeq(strings.Trim(name, "/"), "/") {
		if f.entries[part] == nil {
			if err := p.begin(); err != nil {
				return err
			}
			f.change(change{name: part, node: newFolder()})
		}
		f = f.entries[part].(*folder)
	}
	return nil
}

// File is an open file.
type File struct {
	process *Process
	node    *inode
}

// Append opens a file for appending and creates it if it does not exist.
func (p *Process) Append(name string) (*File, error) {
	f, err := p.folder(path.Dir(name))
	if err != nil {
		return nil, err
	}
	if node, ok := f.entries[path.Base(name)].(*inode); ok {
		return &File{p, node}, nil
	}
	return p.Create(name)
}

// Create creates an empty file or truncates an existing one.
func (p *Process) Create(name string) (*File, error) {
	f, err := p.folder(path.Dir(name))
	if err != nil {
		return nil, err
	}
	if node, ok := f.entries[path.Base(name)].(*inode); ok {
		file := &File{p, node}
		return file, file.Truncate(0)
	}
	if err := p.begin(); err != nil {
		return nil, err
	}
	node := &inode{dirty: map[int]bool{}}
	f.change(change{name: path.Base(name), node: node})
	return &File{p, node}, nil
}

// ReadFile returns the content of a file.
func (p *Process) ReadFile(name string) ([]byte, error) {
	f, err := p.folder(path.Dir(name))
	if err != nil {
		return nil, err
	}
	node, ok := f.entries[path.Base(name)].(*inode)
	if !ok {
		return nil, notFound(name)
	}
	return slices.Clone(node.data), nil
}

// Rename renames a file within its folder.
func (p *Process) Rename(from, to string) error {
	f, err := p.folder(path.Dir(from))
	if err != nil {
		return err
	}
	node := f.entries[path.Base(from)]
	if node == nil || path.Dir(from) != path.Dir(to) {
		return notFound(from)
	}
	if err := p.begin(); err != nil {
		return err
	}
	f.change(change{name: path.Base(to), node: node, removed: path.Base(from)})
	return nil
}

// Remove removes a file.
func (p *Process) Remove(name string) error {
	f, err := p.folder(path.Dir(name))
	if err != nil {
		return err
	}
	if f.entries[path.Base(name)] == nil {
		return notFound(name)
	}
	if err := p.begin(); err != nil {
		return err
	}
	f.change(change{name: path.Base(name)})
	return nil
}

// List returns the sorted names in a folder.
func (p *Process) List(name string) ([]string, error) {
	f, err := p.folder(name)
	if err != nil {
		return nil, err
	}
	var names []string
	for name := range f.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes the entries of a folder durable.
func (p *Process) SyncDir(name string) error {
	f, err := p.folder(name)
	if err != nil {
		return err
	}
	if err := p.begin(); err != nil {
		return err
	}
	f.sync()
	return nil
}

// Write appends data to the file.
func (f *File) Write(data []byte) (int, error) {
	endsHere := f.process.operations == 0
	if err := f.process.begin(); err != nil {
		if endsHere {
			f.node.write(data[:f.process.disk.rng.IntN(len(data)+1)])
		}
		return 0, err
	}
	disk := f.process.disk
	if free := disk.capacity - disk.Used(); disk.capacity > 0 && len(data) > free {
		stored := max(0, free)
		f.node.write(data[:stored])
		return stored, syscall.ENOSPC
	}
	f.node.write(data)
	disk.peak = max(disk.peak, disk.Used())
	return len(data), nil
}

func (n *inode) write(data []byte) {
	for page := len(n.data) / pageBytes; page < pages(len(n.data)+len(data)); page++ {
		n.dirty[page] = true
	}
	n.data = append(n.data, data...)
	n.resize = n.resize || len(data) > 0
}

// Sync makes the content of the file durable.
func (f *File) Sync() error {
	if err := f.process.begin(); err != nil {
		return err
	}
	if f.process.failSync {
		f.process.failSync, f.process.syncFailed = false, true
		f.node.failSync()
		return ErrSync
	}
	f.node.sync()
	return nil
}

// Overwrite replaces bytes of a file from offset on by data and syncs the file.
func (p *Process) Overwrite(name string, offset int64, data []byte) error {
	f, err := p.Append(name)
	if err != nil {
		return err
	}
	if err := p.begin(); err != nil {
		return err
	}
	f.node.overwrite(int(offset), data)
	return f.Sync()
}

func (n *inode) overwrite(offset int, data []byte) {
	copy(n.data[offset:], data)
	for page := offset / pageBytes; page < pages(offset+len(data)); page++ {
		n.dirty[page] = true
	}
}

// Truncate reduces the size of the file.
func (f *File) Truncate(size int64) error {
	if err := f.process.begin(); err != nil {
		return err
	}
	f.node.data = f.node.data[:size]
	f.node.resize = true
	for page := range f.node.dirty {
		if page >= pages(int(size)) {
			delete(f.node.dirty, page)
		}
	}
	return nil
}

// Close closes the file. It does not sync it.
func (f *File) Close() error { return nil }
