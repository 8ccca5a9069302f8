package members

import (
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/standin/disk"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against a damaged identity file that makes a replica's name one that no message can
// hold, or from which its address can't be read.
func FuzzIdentity(f *testing.F) {
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		const dir = "/data"
		fsys := processFS{disk.New(1).Start()}
		file := func() error {
			if err := fsys.MkdirAll(dir); err != nil {
				return err
			}
			f, err := fsys.Create(filepath.Join(dir, identityFile))
			if err != nil {
				return err
			}
			_, err = f.Write(data)
			return err
		}
		if err := file(); err != nil {
			t.Fatal(err)
		}
		name, _, err := loadOrCreateIdentity(fsys, dir, seeds[0], seeds, false)
		if err != nil {
			return
		}
		if address, ok := Address(name); !ok || address != seeds[0] {
			t.Fatalf("the name %q has the address %q", name, address)
		}
		if _, err := proto.Marshal(&wirepb.RaftMessage{From: name}); err != nil {
			t.Fatalf("the name %q: %v", name, err)
		}
		if again, _, err := loadOrCreateIdentity(fsys, dir, seeds[0], seeds, false); err != nil || again != name {
			t.Fatalf("the name is %q and then %q (%v)", name, again, err)
		}
	}, []byte(founderIdentity), []byte("0123456789abcdef\n"), []byte(" "), []byte("\xff\xfe"), nil)
}
