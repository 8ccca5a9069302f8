package replica

import (
	"fmt"
	"math"

	"marjoramtiller.example/marjoramtiller/process/storage"
)

// A diskBudget divides a replica's disk between its log and two snapshots: the stored one
// and the next one, which is written beside it. The next snapshot can be as large as the
// stored one and the log together, so that these two may take half of the disk.
//
// A command is accepted only if the log stays within its part. The log of a leader has
// room for small commands left when large ones no longer fit, so that a burst of large
// commands doesn't hold up the small ones.
type diskBudget struct {
	diskBytes int64 // 0: unlimited
}

// Parts of the disk.
const (
	diskReservePart   = 16   // a sixteenth is left to other files and to the file system
	snapshotDuePart   = 16   // a snapshot is due after a sixteenth of the disk, or later if it is large
	minLogPart        = 16   // the log has a sixteenth of the disk, however large the snapshot is
	largeCommandPart  = 1024 // a command of more than this part of the disk is a large one
	segmentsPerDisk   = 64   // least number of log segments that fit onto the disk
	largeLogPart      = 2    // large commands may fill half of the log's part
	snapshotDueShares = 2    // a snapshot is due at least twice while large commands fill their half
)

// defaultSnapshotDueBytes is the size of the applied entries after which a snapshot is due
// if the size of the disk is not known.
const defaultSnapshotDueBytes = 64 << 20

// logLimits are the sizes of a log, in bytes, that follow from the size of the disk and of
// the stored snapshot.
type logLimits struct {
	snapshotDue int64 // size of the entries applied since the last snapshot at which the next one is due
	large       int64 // the log with a large command may not exceed it
	total       int64 // the log may not exceed it
}

func (b diskBudget) limits(snapshotBytes int64) logLimits {
	if b.diskBytes == 0 {
		return logLimits{snapshotDue: max(defaultSnapshotDueBytes, snapshotBytes/2), large: math.MaxInt64, total: math.MaxInt64}
	}
	usable := b.diskBytes - b.diskBytes/diskReservePart
	l := logLimits{total: max(usable/2-snapshotBytes, b.diskBytes/minLogPart)}
	l.large = l.total / largeLogPart
	l.snapshotDue = min(max(b.diskBytes/snapshotDuePart, snapshotBytes/2), l.large/snapshotDueShares)
	return l
}

func (b diskBudget) isLarge(command int) bool {
	return b.diskBytes > 0 && int64(command) > b.diskBytes/largeCommandPart
}

// maxUncommittedBytes returns the size of uncommitted entries up to which a leader accepts
// commands: a snapshot can't cover these. 0 means the core's default.
func (b diskBudget) maxUncommittedBytes() int {
	if b.diskBytes == 0 {
		return 0
	}
	return int(min(b.limits(0).large, math.MaxInt32))
}

// segmentBytes returns the size at which a new log segment is created, at most unlimited.
func (b diskBudget) segmentBytes(unlimited int64) int64 {
	if b.diskBytes == 0 {
		return unlimited
	}
	return min(unlimited, max(1, b.diskBytes/segmentsPerDisk))
}

// DiskUsage is the space that a replica takes on its disk.
type DiskUsage struct {
	storage.Usage
	QueuedBytes int64 // of commands that are accepted but not in the log yet
	DiskBytes   int64 // Options.DiskBytes, 0: unlimited
}

// CheckCommand returns an error if a command of the given size can't be proposed now. The
// error is a DiskBudgetError if it can be proposed after the next snapshot, and a
// storage.TooLargeError if it never can.
func (u DiskUsage) CheckCommand(size int) error {
	budget := diskBudget{u.DiskBytes}
	if !budget.isLarge(size) {
		return u.checkLimit(size, budget.limits(u.SnapshotBytes).total)
	}
	if ever := budget.limits(0).large; int64(size) > ever {
		return &storage.TooLargeError{Size: size, Limit: int(ever)}
	}
	return u.checkLimit(size, budget.limits(u.SnapshotBytes).large)
}

// IsLargeCommand reports whether a command is refused earlier than others when the log runs
// out of space.
func (u DiskUsage) IsLargeCommand(size int) bool { return diskBudget{u.DiskBytes}.isLarge(size) }

// CheckTotal returns a DiskBudgetError if size bytes don't fit into the log now, whether
// they are one command or many.
func (u DiskUsage) CheckTotal(size int) error {
	return u.checkLimit(size, diskBudget{u.DiskBytes}.limits(u.SnapshotBytes).total)
}

func (u DiskUsage) checkLimit(size int, limit int64) error {
	if used := u.LogBytes + u.QueuedBytes; int64(size) > limit-used {
		return &DiskBudgetError{CommandBytes: int64(size), LogBytes: used, LimitBytes: limit, DiskBytes: u.DiskBytes}
	}
	return nil
}

// DiskBudgetError reports that a command doesn't fit into the part of the disk that the log
// may take until the next snapshot is stored. The command was not and will not be applied.
type DiskBudgetError struct {
	CommandBytes int64 // size of the command
	LogBytes     int64 // size of the log
	LimitBytes   int64 // up to which such a command may fill the log
	DiskBytes    int64 // size of the disk
}

// Error implements error.
func (e *DiskBudgetError) Error() string {
	return fmt.Sprintf("replica: a command of %d bytes doesn't fit into the disk budget: the log has %d bytes and may have %d of a disk of %d bytes; retry in a second, after the next snapshot, or use a larger disk",
		e.CommandBytes, e.LogBytes, e.LimitBytes, e.DiskBytes)
}
