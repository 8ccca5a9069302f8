package key

import (
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

const sample = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" // RFC 9562, appendix A.6

// Guards against accepting a key without a time stamp, and against treating two
// spellings of one key as different keys.
func TestParse(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{sample, `"` + sample + `"`, " " + sample + " ", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F"} {
		k, err := Parse(text)
		is.NoErr(err)
		is.Equal(k.String(), sample)
		is.Equal(k.UnixMs(), int64(1645557742000))
	}
	wrong := map[string]error{
		"":                                      ErrMissing,
		"  ":                                    ErrMissing,
		`"` + sample:                            ErrMalformed,
		"{" + sample + "}":                      ErrMalformed,
		"urn:uuid:" + sample:                    ErrMalformed,
		"017f22e279b07cc398c4dc0c0c07398f":      ErrMalformed,
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398g":  ErrMalformed,
		"919108f7-52d1-4320-9bac-f847db4148a8":  ErrVersion, // UUIDv4
		"017f22e2-79b0-7cc3-d8c4-dc0c0c07398f":  ErrVersion, // another variant
		"00000000-0000-0000-0000-000000000000":  ErrVersion,
		sample + "," + sample:                   ErrMalformed,
		"\"017f22e2-79b0-7cc3-98c4-dc0c0c07398": ErrMalformed,
	}
	for text, want := range wrong {
		_, err := Parse(text)
		is.Equal(err, want)
	}
}

// Guards against a key that is accepted after its record was deleted. Its request
// would run a second time.
func TestCheckAge(t *testing.T) {
	is := is.New(t)
	k, _ := Parse(sample)
	timestamp := k.UnixMs()
	is.NoErr(k.CheckAge(timestamp))
	is.NoErr(k.CheckAge(timestamp + Retention.Milliseconds()))
	is.Equal(k.CheckAge(timestamp+Retention.Milliseconds()+1), ErrExpired)
	is.NoErr(k.CheckAge(timestamp - MaxFutureSkew.Milliseconds()))
	is.Equal(k.CheckAge(timestamp-MaxFutureSkew.Milliseconds()-1), ErrFuture)
}

// Guards against entries that assign one key to different ledger groups, and against
// groups to which no keys are assigned.
func TestGroup(t *testing.T) {
	is := is.New(t)
	k, _ := Parse(sample)
	is.Equal(k.Group(0), 0)
	is.Equal(k.Group(1), 0)
	is.Equal(k.Group(16), 4) // must not change: otherwise the records of all keys would no longer be found
	counts := make([]int, 4)
	id := uuid.UUID(k)
	for i := range 4000 {
		id[15] = byte(i)
		id[14] = byte(i >> 8)
		counts[Key(id).Group(len(counts))]++
	}
	for _, n := range counts {
		is.True(n > 800 && n < 1200)
	}
}

// Guards against a header that makes Parse panic, and against a canonical form that
// parses to another key.
func FuzzParse(f *testing.F) {
	randomtest.Add(f, []byte(sample))
	randomtest.Add(f, []byte(`"`+sample+`"`))
	f.Fuzz(func(t *testing.T, data []byte) {
		text := string(data)
		k, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(k.String())
		if err != nil || again != k {
			t.Fatalf("%q: canonical form parses to another key", text)
		}
	})
}
