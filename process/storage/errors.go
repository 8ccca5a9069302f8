package storage

import "fmt"

const remedyReplace = "replace this replica: start it with an empty folder and a new replica name as a learner, promote that and remove the old name"

// CorruptError reports damage that a crash can't explain. The data may be
// incomplete, so the replica must not vote or acknowledge with it.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d: %s; %s", e.File, e.Offset, e.Detail, remedyReplace)
}

// MissingSegmentError reports a log segment that should exist.
type MissingSegmentError struct{ File string }

// Error implements error.
func (e *MissingSegmentError) Error() string {
	return fmt.Sprintf("storage: segment %s is missing; restore the file, or %s", e.File, remedyReplace)
}

// SyncError reports a failed sync. What reached the disk is unknown, and a later
// sync that succeeds proves nothing about the earlier writes.
type SyncError struct {
	File string
	Err  error
}

// Error implements error.
func (e *SyncError) Error() string {
	return fmt.Sprintf("storage: sync of %s failed: %v; check the disk and restart the process, or %s", e.File, e.Err, remedyReplace)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// DiskFullError reports that a batch was not written, for lack of space or
// another failed write. The stored data is intact and the batch may be retried.
type DiskFullError struct {
	File string
	Err  error
}

// Error implements error.
func (e *DiskFullError) Error() string {
	return fmt.Sprintf("storage: can't write %s: %v; free space on the disk, writing then resumes", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *DiskFullError) Unwrap() error { return e.Err }

// TooLargeError reports an entry above the size bound.
type TooLargeError struct{ Size, Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("storage: entry of %d bytes exceeds %d; split the command", e.Size, e.Limit)
}
