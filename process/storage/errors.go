package storage

import (
	"errors"
	"fmt"
	"syscall"
)

const replaceReplicaRemedy = "replace this replica: start it as a learner with an empty data folder and a new replica name, promote the learner and remove the old replica"

// CorruptError reports stored data that is corrupt in a way that an interrupted
// write cannot cause. Data may be missing, so the replica must not vote or
// acknowledge entries.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s; %s", e.File, e.Offset, e.Detail, replaceReplicaRemedy)
}

// MissingSegmentError reports a log segment, or the manifest of the segments,
// that should exist.
type MissingSegmentError struct{ File string }

// Error implements error.
func (e *MissingSegmentError) Error() string {
	return fmt.Sprintf("storage: log file %s is missing; restore it, or %s", e.File, replaceReplicaRemedy)
}

// SyncError reports a failed sync, or another failed operation that leaves it
// unknown what the disk holds. A later sync that succeeds does not show that the
// earlier writes are on the disk.
type SyncError struct {
	File string
	Err  error
}

// Error implements error.
func (e *SyncError) Error() string {
	return fmt.Sprintf("storage: sync of %s failed: %v; check the disk and restart the process, or %s", e.File, e.Err, replaceReplicaRemedy)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// DiskFullError reports that a write failed, for lack of space or another reason.
// The data stored before is intact and the write may be retried.
type DiskFullError struct {
	File string
	Err  error
}

// Error implements error.
func (e *DiskFullError) Error() string {
	return fmt.Sprintf("storage: cannot write %s: %v; free space on the disk, after which writes succeed again", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *DiskFullError) Unwrap() error { return e.Err }

// DescriptorsError reports that a file could not be opened because the process has too
// many files and connections open. Nothing was written and the operation may be retried.
type DescriptorsError struct {
	File string
	Err  error
}

// Error implements error.
func (e *DescriptorsError) Error() string {
	return fmt.Sprintf("storage: cannot open %s: %v; raise the limit of file descriptors or reduce the connections, after which writes succeed again", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *DescriptorsError) Unwrap() error { return e.Err }

// Retryable reports whether a failed operation has left the stored data as it was and
// may be repeated.
func Retryable(err error) bool {
	var full *DiskFullError
	var descriptors *DescriptorsError
	return errors.As(err, &full) || errors.As(err, &descriptors)
}

func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// writeError returns the error of a failed write or of a file that can't be created.
func writeError(file string, err error) error {
	if lacksDescriptors(err) {
		return &DescriptorsError{File: file, Err: err}
	}
	return &DiskFullError{File: file, Err: err}
}

// syncDirError returns the error of a failed sync of a folder. Without a descriptor the
// sync was not attempted.
func syncDirError(dir string, err error) error {
	if lacksDescriptors(err) {
		return &DescriptorsError{File: dir, Err: err}
	}
	return &SyncError{File: dir, Err: err}
}

// TooLargeError reports an entry or a record that exceeds its maximum size.
type TooLargeError struct{ Size, Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("storage: an entry or record of %d bytes exceeds the limit of %d bytes; split the command into smaller ones", e.Size, e.Limit)
}
