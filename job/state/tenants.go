package state

import (
	"maps"
	"slices"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// tenants indexes the tenants of the configuration in force. A tenant that a newer
// configuration lacks stays known by its name, with its last limits, while jobs of it are open.
type tenants struct {
	byKey    map[string]*jobpb.Tenant // by key digest, of the configuration in force only
	byName   map[string]*jobpb.Tenant
	former   map[string]*jobpb.Tenant // those in byName that the configuration in force lacks
	openJobs map[string]int           // by name
	// revoked holds the digests of keys that earlier configurations had. Only log lines and
	// metrics use it: it is not part of a snapshot, so replicas may differ in it.
	revoked map[string]bool
}

// maxRevokedKeys bounds the keys in tenants.revoked. Beyond it they are forgotten.
const maxRevokedKeys = 4096

func newTenants() tenants {
	return tenants{byKey: map[string]*jobpb.Tenant{}, byName: map[string]*jobpb.Tenant{}, former: map[string]*jobpb.Tenant{},
		openJobs: map[string]int{}, revoked: map[string]bool{}}
}

// TenantByKey returns the tenant to which the configuration in force gives the key with a
// digest, nil if it gives it to none.
func (s *Store) TenantByKey(digest []byte) *jobpb.Tenant { return s.tenants.byKey[string(digest)] }

// KeyRevoked reports whether an earlier configuration had the key with a digest and the one in
// force has not, as far as this process remembers. Decisions must not depend on it.
func (s *Store) KeyRevoked(digest []byte) bool { return s.tenants.revoked[string(digest)] }

// Tenant returns the tenant with a name, nil if there is none. It may be one that the
// configuration in force lacks and that has open jobs.
func (s *Store) Tenant(name string) *jobpb.Tenant { return s.tenants.byName[name] }

// configure replaces the tenants by those of a configuration.
func (t *tenants) configure(list []*jobpb.Tenant) {
	for name, tenant := range t.byName {
		if t.openJobs[name] > 0 {
			t.former[name] = tenant
		}
	}
	t.recordRevoked(list)
	clear(t.byKey)
	clear(t.byName)
	for _, tenant := range list {
		delete(t.former, tenant.Name)
		t.byName[tenant.Name] = tenant
		for _, digest := range tenant.KeyDigests {
			t.byKey[string(digest)] = tenant
		}
	}
	maps.Copy(t.byName, t.former)
}

// recordRevoked records the keys that a new list of tenants lacks.
func (t *tenants) recordRevoked(list []*jobpb.Tenant) {
	if len(t.revoked)+len(t.byKey) > maxRevokedKeys {
		clear(t.revoked)
	}
	for digest := range t.byKey {
		t.revoked[digest] = true
	}
	for _, tenant := range list {
		for _, digest := range tenant.KeyDigests {
			delete(t.revoked, string(digest))
		}
	}
}

// restore sets the tenants to those of a snapshot.
func (t *tenants) restore(configured, former []*jobpb.Tenant, open map[string]*jobpb.Job) {
	for _, tenant := range former {
		t.former[tenant.Name] = tenant
	}
	for _, j := range open {
		t.jobOpened(j)
	}
	t.configure(configured)
}

// jobOpened counts an open job.
func (t *tenants) jobOpened(j *jobpb.Job) {
	if j.Tenant != "" {
		t.openJobs[j.Tenant]++
	}
}

// jobClosed counts a job as no longer open. A tenant that the configuration lacks is forgotten
// with its last one.
func (t *tenants) jobClosed(j *jobpb.Job) {
	if j.Tenant == "" {
		return
	}
	t.openJobs[j.Tenant]--
	if t.openJobs[j.Tenant] > 0 {
		return
	}
	delete(t.openJobs, j.Tenant)
	if t.former[j.Tenant] != nil {
		delete(t.former, j.Tenant)
		delete(t.byName, j.Tenant)
	}
}

// formerTenants returns the tenants that only open jobs still name, by name.
func (t *tenants) formerTenants() []*jobpb.Tenant {
	var list []*jobpb.Tenant
	for _, name := range slices.Sorted(maps.Keys(t.former)) {
		list = append(list, t.former[name])
	}
	return list
}
