// Package key parses and checks the Idempotency-Key header of a request that must
// run at most once. A key is a UUIDv7 (RFC 9562), whose time stamp gives its age
// even if there is no record of the key.
package key

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// Retention is the time after its time stamp during which a key may be used.
	Retention = 24 * time.Hour
	// MaxFutureSkew is how far the time stamp of a key may be ahead of the clock of
	// the process that checks it.
	MaxFutureSkew = 60 * time.Second

	uuidTextLength = 36
)

// Errors of Parse and CheckAge. Each message names the remedy.
var (
	ErrMissing   = errors.New("Idempotency-Key is missing: send a UUIDv7 in this header")
	ErrMalformed = errors.New("Idempotency-Key is not a UUID: send a UUIDv7, bare or in double quotes")
	ErrVersion   = errors.New("Idempotency-Key is not a UUIDv7: its time stamp is needed, generate version 7")
	ErrExpired   = errors.New("Idempotency-Key is older than the retention period: find out whether the request ran, then use a new key if it did not")
	ErrFuture    = errors.New("Idempotency-Key is in the future: correct the clock of the caller")
)

// Key is a checked UUIDv7.
type Key uuid.UUID

// Parse reads a header value: a UUIDv7 in its 36-character text form, bare or
// as an RFC 8941 string in double quotes. It returns ErrMissing, ErrMalformed
// or ErrVersion.
func Parse(header string) (Key, error) {
	text := strings.TrimSpace(header)
	if text == "" {
		return Key{}, ErrMissing
	}
	if len(text) == uuidTextLength+2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	// uuid.Parse also accepts the urn:, braced and unhyphenated forms. A key has only
	// one form, so that a proxy and a caller agree on which keys are the same.
	if len(text) != uuidTextLength {
		return Key{}, ErrMalformed
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrMalformed
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrVersion
	}
	return Key(id), nil
}

// String returns the canonical text form in lower case.
func (k Key) String() string { return uuid.UUID(k).String() }

// UnixMs returns the key's time stamp in Unix milliseconds.
func (k Key) UnixMs() int64 {
	return int64(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// CheckAge returns ErrExpired if the key is older than Retention at nowUnixMs, and
// ErrFuture if its time stamp is later than MaxFutureSkew after nowUnixMs.
func (k Key) CheckAge(nowUnixMs int64) error {
	if k.UnixMs() > nowUnixMs+MaxFutureSkew.Milliseconds() {
		return ErrFuture
	}
	if k.UnixMs() < nowUnixMs-Retention.Milliseconds() {
		return ErrExpired
	}
	return nil
}

// Group returns the ledger group of the key, from 0 to groups-1. The result
// depends only on the key and groups. It is 0 when groups is less than 2.
func (k Key) Group(groups int) int {
	if groups < 2 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(k[:])
	return int(h.Sum64() % uint64(groups))
}
