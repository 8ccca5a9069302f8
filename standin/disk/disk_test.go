package disk

import (
	"bytes"
	"errors"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// written returns a disk with a synced file, to which unsynced bytes were then appended.
func written(t *testing.T, synced, unsynced string) (*Disk, *Process, *File) {
	t.Helper()
	d := New(1)
	p := d.Start()
	f, err := p.Create("/file")
	is.New(t).NoErr(err)
	_, err = f.Write([]byte(synced))
	is.New(t).NoErr(errors.Join(err, f.Sync(), p.SyncDir("/")))
	_, err = f.Write([]byte(unsynced))
	is.New(t).NoErr(err)
	return d, p, f
}

func read(t *testing.T, d *Disk, name string) string {
	t.Helper()
	data, err := d.Start().ReadFile(name)
	is.New(t).NoErr(err)
	return string(data)
}

// Guards against a simulated disk that loses bytes with a process, or keeps unsynced bytes
// in a loss of power, so that tests on it show nothing.
func TestUnsyncedBytesSurviveAProcessOnly(t *testing.T) {
	is := is.New(t)
	d, p, f := written(t, "synced", " unsynced")
	p.End()
	_, err := f.Write([]byte("late"))
	is.True(errors.Is(err, ErrProcessEnded))
	is.Equal(read(t, d, "/file"), "synced unsynced")
	d.LosePowerKeepingNothing()
	is.Equal(read(t, d, "/file"), "synced")
}

// Guards against renames, removals and new files that count as durable before their folder
// is synced.
func TestUnsyncedFolderChangesAreLostWithThePower(t *testing.T) {
	is := is.New(t)
	d, p, _ := written(t, "old", "")
	f, err := p.Create("/new")
	is.NoErr(err)
	_, err = f.Write([]byte("new"))
	is.NoErr(errors.Join(err, f.Sync(), p.SyncDir("/"), p.Rename("/new", "/file")))
	is.NoErr(p.MkdirAll("/folder"))
	is.Equal(read(t, d, "/file"), "new")
	p.End()
	d.LosePowerKeepingNothing()
	is.Equal(read(t, d, "/file"), "old")
	is.Equal(read(t, d, "/new"), "new")
	_, err = d.Start().List("/folder")
	is.True(err != nil)

	p = d.Start()
	is.NoErr(errors.Join(p.Rename("/new", "/file"), p.SyncDir("/"), p.Remove("/file")))
	p.End()
	d.LosePowerKeepingNothing()
	is.Equal(read(t, d, "/file"), "new")
}

// Guards against a loss of power that always keeps a prefix of the unsynced bytes: a disk
// may write pages in any order.
func TestLossOfPowerMayKeepLaterPagesOnly(t *testing.T) {
	unsynced := bytes.Repeat([]byte{'x'}, 4*pageBytes)
	for seed := range uint64(200) {
		d := New(seed)
		p := d.Start()
		f, err := p.Create("/file")
		is.New(t).NoErr(err)
		is.New(t).NoErr(p.SyncDir("/"))
		_, err = f.Write(unsynced)
		is.New(t).NoErr(err)
		p.End()
		d.LosePower()
		data := []byte(read(t, d, "/file"))
		if len(data) == len(unsynced) && data[0] == 0 && data[len(data)-1] == 'x' {
			return
		}
	}
	t.Error("no loss of power kept the last page without the first")
}

// Guards against a sync that writes the pages of an earlier one that has failed.
func TestPagesOfAFailedSyncAreNotWrittenLater(t *testing.T) {
	is := is.New(t)
	d, p, f := written(t, "", "unsynced")
	p.FailNextSync()
	is.True(errors.Is(f.Sync(), ErrSync))
	is.NoErr(f.Sync())
	is.Equal(read(t, d, "/file"), "unsynced")
	p.End()
	d.LosePowerKeepingNothing()
	is.Equal(read(t, d, "/file"), string(make([]byte, len("unsynced"))))
}

// Guards against a limited disk that takes more than it has, or that stays full after a file
// was removed.
func TestDiskWithACapacityFillsUp(t *testing.T) {
	is := is.New(t)
	d := New(1)
	d.SetCapacity(10)
	p := d.Start()
	is.NoErr(p.MkdirAll("/data"))
	first, err := p.Create("/data/a")
	is.NoErr(err)
	_, err = first.Write([]byte("123456"))
	is.NoErr(err)
	second, err := p.Create("/data/b")
	is.NoErr(err)
	n, err := second.Write([]byte("123456"))
	is.Equal(n, 4)
	is.True(errors.Is(err, syscall.ENOSPC))
	is.Equal(d.Used(), 10)
	is.NoErr(p.Remove("/data/a"))
	_, err = second.Write([]byte("56"))
	is.NoErr(err)
	is.Equal(d.Used(), 6)
	is.Equal(d.Peak(), 6)
}
