package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// A record is: body length (4 bytes, little endian), CRC-32C of the length and
// the body (4 bytes), body. The body is a list of items: kind (1 byte), length
// (varint), protobuf message.
const (
	headerBytes = 8
	// MaxRecordBytes bounds a record's body.
	MaxRecordBytes = 8 << 20
	// MaxEntryBytes bounds an entry; it leaves room in a 4 MiB frame.
	MaxEntryBytes = 3 << 20
)

type itemKind byte

const (
	itemEntry itemKind = iota + 1
	itemHardState
	itemReset // a RaftSnapshot without data: the log restarts after it
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errShort = errors.New("record is incomplete")
	errCRC   = errors.New("CRC mismatch")
	errBody  = errors.New("record body is malformed")
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

// encode appends the batch as a record to dst.
func (b *batch) encode(dst []byte) ([]byte, error) {
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

// frame checks the record at the start of data and returns its body.
func frame(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, errShort
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > MaxRecordBytes {
		return nil, errCRC
	}
	if uint64(len(data)-headerBytes) < uint64(n) {
		return nil, errShort
	}
	body := data[headerBytes : headerBytes+int(n)]
	if checksum(data[:4], body) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, errCRC
	}
	return body, nil
}

// decode reads the record at the start of data and returns its total length.
func decode(data []byte) (*batch, int, error) {
	body, err := frame(data)
	if err != nil {
		return nil, 0, err
	}
	b := &batch{}
	for rest := body; len(rest) > 0; {
		kind := itemKind(rest[0])
		n, used := binary.Uvarint(rest[1:])
		if used <= 0 || n > uint64(len(rest)-1-used) {
			return nil, 0, errBody
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
		return errBody
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errBody
	}
	return nil
}

// tornTail reports whether a crash during the last write explains that the
// record at the start of data can't be read: no intact record follows it.
func tornTail(data []byte) bool {
	for i := 1; i+headerBytes < len(data); i++ {
		if _, err := frame(data[i:]); err == nil {
			return false
		}
	}
	return true
}
