package jobs

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// limitedLog is a log on a disk that is nearly used up.
type limitedLog struct {
	fixedLog
	disk replica.DiskUsage
}

func (l limitedLog) Status() replica.Status { return replica.Status{LeaseValid: true, Disk: l.disk} }

const testDiskBytes = 128 << 20

// limitedLogWith returns a log of a size.
func limitedLogWith(logBytes int64) limitedLog {
	return limitedLog{disk: replica.DiskUsage{Usage: storage.Usage{LogBytes: logBytes}, DiskBytes: testDiskBytes}}
}

// forgotten returns the ids in an encoded log entry of forgetJob changes.
func forgotten(t *testing.T, data []byte) (ids []string) {
	t.Helper()
	command := &jobpb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		t.Fatal(err)
	}
	for _, e := range command.Entries {
		ids = append(ids, e.GetForget())
	}
	return ids
}

// Guards against a large change that is refused together with ends, leases and jobs, against
// one that waits for its deadline although the log has no space for it, and against a refusal
// after which the sender does not try again.
func TestLargeChangeIsRefusedWhileSmallOnesGoOn(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	s.c.group = limitedLogWith(testDiskBytes / 4)
	large := strings.Repeat("x", 1<<20)
	_, err := s.proposeChange(context.Background(), forgetJob(large))
	var budget *replica.DiskBudgetError
	is.True(errors.As(err, &budget))
	is.True(neverApplied(err))
	is.Equal(failureResponse(err).Outcome, jobpb.Response_REFUSED)
	is.Equal(len(s.batch), 0) // it was refused at once

	// A large change that was accepted while there was space.
	var failed error
	s.add(forgetJob("a"), nil)
	s.add(forgetJob(large), func(_ bool, err error) { failed = err })
	s.add(forgetJob("b"), nil)
	data, _ := s.nextBatch()
	is.Equal(forgotten(t, data), []string{"a", "b"})
	is.True(errors.As(failed, &budget))
	is.True(!s.failed())

	s.c.group = limitedLogWith(0)
	s.add(forgetJob(large), func(bool, error) {})
	data, _ = s.nextBatch()
	is.Equal(forgotten(t, data), []string{large})
}

// Guards against small changes that fail, or end the session, while the log has no space.
func TestSmallChangesWaitForSpaceInTheLog(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	s.c.group = limitedLogWith(testDiskBytes / 2)
	s.add(forgetJob("a"), func(_ bool, err error) { is.NoErr(err) })
	data, waiters := s.nextBatch()
	is.Equal(len(data), 0)
	is.Equal(len(waiters), 0)
	is.Equal(len(s.batch), 1)
	s.c.group = limitedLogWith(0)
	data, _ = s.nextBatch()
	is.Equal(forgotten(t, data), []string{"a"})
}
