package state

import (
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Guards against a replica that refuses every key, or forgets the limits of a tenant with open
// jobs, after it has restored a snapshot.
func TestRestoredSnapshotKeepsTenants(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.configure(&jobpb.Configuration{Version: 1, Authenticates: true, Tenants: []*jobpb.Tenant{
		{Name: "t1", KeyDigests: [][]byte{{1}}, MaxCpuMillis: 5}, {Name: "t2", KeyDigests: [][]byte{{2}}}}}))
	is.True(s.accept(&jobpb.Job{Id: "a", Queue: "q", Tenant: "t1", KeyDigest: []byte{1}}))
	is.True(s.configure(&jobpb.Configuration{Version: 2, Authenticates: true, Tenants: []*jobpb.Tenant{{Name: "t2", KeyDigests: [][]byte{{2}}}}}))
	data, err := s.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(data))
	is.True(restored.Configuration().Authenticates)
	is.Equal(restored.TenantByKey([]byte{2}).GetName(), "t2")
	is.Equal(restored.TenantByKey([]byte{1}), nil)               // its tenant has left
	is.Equal(restored.Tenant("t1").GetMaxCpuMillis(), uint64(5)) // and has an open job
	is.True(restored.cancel(&jobpb.Cancel{Job: "a", AtMs: 1}))
	is.Equal(restored.Tenant("t1"), nil)
}

// Guards against a job whose tenant has no limits: its acceptance, decided under a configuration
// with the tenant, is applied after a configuration without it.
func TestTenantOfAJobAcceptedAfterItsRemovalIsKnown(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.configure(&jobpb.Configuration{Version: 1, Authenticates: true, Tenants: []*jobpb.Tenant{{Name: "t1", KeyDigests: [][]byte{{1}}}}}))
	is.True(s.configure(&jobpb.Configuration{Version: 2, Authenticates: true}))
	if !s.accept(&jobpb.Job{Id: "a", Queue: "q", Tenant: "t1"}) {
		return // refused: nothing runs without limits
	}
	is.True(s.Tenant("t1") != nil)
}
