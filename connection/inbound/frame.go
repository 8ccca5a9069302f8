package inbound

import (
	"io"
	"time"
)

// ReadFrame reads size bytes that are not the body of an HTTP request, and reserves memory
// for them as they arrive and for their decoded form. CutOff must end the reading; it is
// called if others need the memory while the sender makes no progress. After a
// FrameRefusedError the rest of the frame can still be read. The memory
// is held until release.
func (l *Limits) ReadFrame(r io.Reader, size, decodedFactor int64, cutOff func()) (data []byte, release func(), err error) {
	q := l.newRequest()
	release = q.reservation.end
	if data, err = q.readFrame(r, size, decodedFactor, cutOff); err != nil {
		release()
		return nil, func() {}, err
	}
	return data, release, nil
}

func (q *request) readFrame(r io.Reader, size, decodedFactor int64, cutOff func()) ([]byte, error) {
	if !q.reservation.hasRoom(size*(1+decodedFactor), roomWait) {
		return nil, q.refuseFrame(0)
	}
	q.reservation.receive(time.Now(), cutOff)
	defer q.reservation.complete()
	var data []byte
	for int64(len(data)) < size {
		if len(data) == cap(data) {
			grown := min(max(minBuffer, 2*int64(cap(data))), size)
			if !q.reservation.grow(grown-int64(cap(data)), roomWait) {
				return nil, q.refuseFrame(len(data))
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		q.reservation.receivedBytes(int64(n), time.Now())
		if err != nil && int64(len(data)) < size {
			return nil, err
		}
	}
	if !q.reservation.grow(size*decodedFactor, roomWait) {
		return nil, q.refuseFrame(len(data))
	}
	return data, nil
}

// FrameRefusedError reports a frame for which there is no memory.
type FrameRefusedError struct {
	ReadBytes int64 // of the frame, before it was refused
}

// Error implements error.
func (e *FrameRefusedError) Error() string { return refusals[refusedFull].Reason }

func (q *request) refuseFrame(read int) error {
	q.limits.metrics.refused(refusedFull)
	return &FrameRefusedError{ReadBytes: int64(read)}
}
