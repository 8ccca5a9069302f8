package access

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Guards against a malformed header that is taken for a key, and against a key that is not
// recognized because of the spelling of the scheme.
func TestDigestFromHeader(t *testing.T) {
	is := is.New(t)
	for _, values := range [][]string{nil, {""}, {"Bearer"}, {"Bearer "}, {"k1"}, {"Basic k1"}, {"Bearerk1"}, {"Bearer k1", "Bearer k1"}} {
		is.Equal(DigestFromHeader(values), nil)
	}
	for _, value := range []string{"Bearer k1", "bearer k1", "BEARER  k1", " Bearer k1 "} {
		is.Equal(DigestFromHeader([]string{value}), Digest("k1"))
	}
	is.True(string(DigestFromHeader([]string{"Bearer k1 k2"})) != string(Digest("k1")))
}

func configure(t *testing.T, st *state.Store, c *jobpb.Configuration) {
	t.Helper()
	data, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{{Change: &jobpb.Entry_Configure{Configure: c}}}})
	if err != nil {
		t.Fatal(err)
	}
	st.Apply(1, data)
}

// Guards against a call that is decided by an earlier configuration, and against a key that
// is asked for where the configuration does not call for one.
func TestCheckFollowsTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	st := state.New()
	q, anonymous := &jobpb.Queue{Name: "q"}, &jobpb.Queue{Name: "a", Anonymous: true}
	tenant := func(name string, keys ...string) *jobpb.Tenant {
		tenant := &jobpb.Tenant{Name: name}
		for _, key := range keys {
			tenant.KeyDigests = append(tenant.KeyDigests, Digest(key))
		}
		return tenant
	}
	configure(t, st, &jobpb.Configuration{Version: 1})
	is.Equal(Check(st, q, nil), Decision{Verdict: NotRequired})
	configure(t, st, &jobpb.Configuration{Version: 2, Authenticates: true, Tenants: []*jobpb.Tenant{tenant("t1", "k1", "k2"), tenant("t2", "k3")}})
	is.Equal(Check(st, q, nil), Decision{Verdict: Missing})
	is.Equal(Check(st, q, Digest("k2")), Decision{Verdict: Valid, Tenant: "t1"})
	is.Equal(Check(st, q, Digest("k9")), Decision{Verdict: Unknown})
	is.Equal(Check(st, anonymous, Digest("k9")), Decision{Verdict: NotRequired})
	configure(t, st, &jobpb.Configuration{Version: 3, Authenticates: true, Tenants: []*jobpb.Tenant{tenant("t2", "k2", "k3")}})
	is.Equal(Check(st, q, Digest("k1")), Decision{Verdict: Revoked})
	is.Equal(Check(st, q, Digest("k2")), Decision{Verdict: Valid, Tenant: "t2"}) // moved to another tenant
	configure(t, st, &jobpb.Configuration{Version: 4, Authenticates: true, Tenants: []*jobpb.Tenant{tenant("t1", "k1")}})
	is.Equal(Check(st, q, Digest("k1")), Decision{Verdict: Valid, Tenant: "t1"}) // given back
	configure(t, st, &jobpb.Configuration{Version: 5, Authenticates: true})
	is.Equal(Check(st, q, Digest("k1")).Allowed(), false) // an empty list of tenants allows no key
	configure(t, st, &jobpb.Configuration{Version: 6})
	is.Equal(Check(st, q, nil).Allowed(), true)
}

// Guards against a tenant that sees the jobs of another one, and against jobs that nobody can
// reach any more after a change of keys, tenants or queues.
func TestSeesJob(t *testing.T) {
	is := is.New(t)
	j := &jobpb.Job{Tenant: "t1", KeyDigest: Digest("k1")}
	is.True(SeesJob(Decision{Verdict: Valid, Tenant: "t1"}, Digest("k2"), j))
	is.True(!SeesJob(Decision{Verdict: Valid, Tenant: "t2"}, Digest("k3"), j))
	is.True(SeesJob(Decision{Verdict: Valid, Tenant: "t2"}, Digest("k1"), j)) // the key has moved
	is.True(SeesJob(Decision{Verdict: NotRequired}, nil, j))                  // the queue has become anonymous
	is.True(SeesJob(Decision{Verdict: Valid, Tenant: "t2"}, Digest("k3"), &jobpb.Job{}))
}
