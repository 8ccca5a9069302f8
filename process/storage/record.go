package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// A record consists of the length of its body (4 bytes, little endian), the
// CRC-32C of length and body (4 bytes) and the body. The body is a list of items,
// each with its kind (1 byte), length (varint) and protobuf message.
const (
	headerBytes = 8
	// MaxRecordBytes is the maximum size of a record's body.
	MaxRecordBytes = 8 << 20
	// MaxEntryBytes is the maximum size of an entry. It is below 4 MiB, the
	// maximum size of a frame, so that the rest of the message fits too.
	MaxEntryBytes = 3 << 20
)

type itemKind byte

const (
	itemEntry itemKind = iota + 1
	itemHardState
	itemReset // a RaftSnapshot without data: earlier entries are discarded and the log continues after its index
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errIncomplete = errors.New("record is incomplete")
	errCRC        = errors.New("CRC mismatch")
	errMalformed  = errors.New("record body is malformed")
)

// batch is the content of one record, applied in the order reset, entries, hard
// state.
type batch struct {
	reset     *wirepb.RaftSnapshot
	entries   []*wirepb.RaftEntry
	hardState *wirepb.RaftHardState
}

func appendItem(body []byte, kind itemKind, m proto.Message) ([]byte, error) {
	opts := proto.MarshalOptions{}
	body = append(body, byte(kind))
	body = binary.AppendUvarint(body, uint64(opts.Size(m)))
	return opts.MarshalAppend(body, m)
}

// appendRecord encodes the batch as a record and appends it to dst.
func (b *batch) appendRecord(dst []byte) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, headerBytes)...)
	var err error
	if b.reset != nil {
		dst, err = appendItem(dst, itemReset, b.reset)
	}
	for _, e := range b.entries {
		if err == nil {
			dst, err = appendItem(dst, itemEntry, e)
		}
	}
	if b.hardState != nil && err == nil {
		dst, err = appendItem(dst, itemHardState, b.hardState)
	}
	if err != nil {
		return nil, errors.Wrap(err, "storage: encode record")
	}
	body := len(dst) - start - headerBytes
	if body > MaxRecordBytes {
		return nil, &TooLargeError{Size: body, Limit: MaxRecordBytes}
	}
	binary.LittleEndian.PutUint32(dst[start:], uint32(body))
	binary.LittleEndian.PutUint32(dst[start+4:], checksum(dst[start:start+4], dst[start+headerBytes:]))
	return dst, nil
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// recordBody checks the length and the CRC of the record at the start of data and
// returns its body.
func recordBody(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, errIncomplete
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > MaxRecordBytes {
		return nil, errCRC
	}
	if uint64(len(data)-headerBytes) < uint64(n) {
		return nil, errIncomplete
	}
	body := data[headerBytes : headerBytes+int(n)]
	if checksum(data[:4], body) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, errCRC
	}
	return body, nil
}

// decodeRecord decodes the record at the start of data and returns its batch and
// its total length.
func decodeRecord(data []byte) (*batch, int, error) {
	body, err := recordBody(data)
	if err != nil {
		return nil, 0, err
	}
	b := &batch{}
	for rest := body; len(rest) > 0; {
		kind := itemKind(rest[0])
		n, used := binary.Uvarint(rest[1:])
		if used <= 0 || n > uint64(len(rest)-1-used) {
			return nil, 0, errMalformed
		}
		end := 1 + used + int(n)
		if err := b.decodeItem(kind, rest[1+used:end]); err != nil {
			return nil, 0, err
		}
		rest = rest[end:]
	}
	return b, headerBytes + len(body), nil
}

func (b *batch) decodeItem(kind itemKind, data []byte) error {
	var m proto.Message
	switch kind {
	case itemEntry:
		e := &wirepb.RaftEntry{}
		b.entries = append(b.entries, e)
		m = e
	case itemHardState:
		b.hardState = &wirepb.RaftHardState{}
		m = b.hardState
	case itemReset:
		b.reset = &wirepb.RaftSnapshot{}
		m = b.reset
	default:
		return errMalformed
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errMalformed
	}
	return nil
}

// isTornTail reports whether the invalid record at the start of data can be the
// result of a crash during the last write. It cannot if an intact record follows.
func isTornTail(data []byte) bool {
	for i := 1; i+headerBytes < len(data); i++ {
		if _, err := recordBody(data[i:]); err == nil {
			return false
		}
	}
	return true
}
