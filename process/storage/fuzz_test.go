package storage

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a damaged manifest, snapshot or segment that makes Open panic,
// or that it repairs into a folder which the next start refuses.
func FuzzOpen(f *testing.F) {
	m := newMemFS()
	s, _, err := Open(Options{FS: m, Dir: testDir})
	if err != nil {
		f.Fatal(err)
	}
	is.New(f).NoErr(s.Append(testEntries(1, 3, 1), nil))
	manifest, segment := testDir+"/"+manifestName, testDir+"/"+segmentName(1)
	f.Add(m.files[manifest].data, m.files[segment].data, []byte{})
	f.Add(m.files[manifest].data, m.files[segment].data[:40], []byte{1})
	f.Fuzz(func(t *testing.T, manifestData, segmentData, snapshotData []byte) {
		disk := newMemFS()
		for name, data := range map[string][]byte{manifest: manifestData, segment: segmentData, testDir + "/" + snapshotName: snapshotData} {
			if len(data) > 0 {
				disk.files[name] = &memFile{fs: disk, data: data, synced: data}
			}
		}
		if _, _, err := Open(Options{FS: disk, Dir: testDir}); err != nil {
			return
		}
		if _, _, err := Open(Options{FS: disk, Dir: testDir}); err != nil {
			t.Fatalf("the second start fails: %v", err)
		}
	})
}
