package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
)

// CreateFolder creates a folder and its parents, unless they exist, and makes them
// durable.
//
// Each folder is durable before the next one is created in it. If the process is killed,
// at most the last folder that exists is therefore not durable, and a later call syncs its
// parent.
func CreateFolder(fsys FS, dir string) error {
	existing, missing, err := existingParent(fsys, dir)
	if err != nil {
		return fmt.Errorf("storage: create %s: %w", dir, err)
	}
	if err := syncParent(fsys, existing); err != nil {
		return err
	}
	for _, folder := range missing {
		if err := fsys.MkdirAll(folder); err != nil {
			return fmt.Errorf("storage: create %s: %w", folder, err)
		}
		if err := syncParent(fsys, folder); err != nil {
			return err
		}
	}
	return nil
}

// existingParent returns the folder dir or the nearest parent of it that exists, and the
// folders that are missing from there to dir, parents first.
func existingParent(fsys FS, dir string) (existing string, missing []string, err error) {
	existing = dir
	for {
		_, err := fsys.List(existing)
		if !errors.Is(err, fs.ErrNotExist) {
			return existing, missing, err
		}
		parent := filepath.Dir(existing)
		if parent == existing {
			return "", nil, err
		}
		missing = append([]string{existing}, missing...)
		existing = parent
	}
}

// syncParent makes a folder's entry in its parent durable. A parent that this process may not
// open can't be synced by it, and is left to who has set it up.
func syncParent(fsys FS, dir string) error {
	parent := filepath.Dir(dir)
	if err := fsys.SyncDir(parent); err != nil && !errors.Is(err, fs.ErrPermission) {
		return syncDirError(parent, err)
	}
	return nil
}
