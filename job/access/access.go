// Package access decides by the API key of a call whether its caller may use a queue, and
// which jobs there it may see. It is pure; keys are known by their digests only.
package access

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Verdict is the result of the check of a call's API key.
type Verdict string

// Verdicts.
const (
	NotRequired Verdict = "not_required" // the queue is anonymous, or the configuration has no tenants
	Valid       Verdict = "valid"        // a tenant of the configuration has the key
	Missing     Verdict = "missing"      // the call has no well-formed key
	Unknown     Verdict = "unknown"      // no tenant has the key
	Revoked     Verdict = "revoked"      // an earlier configuration had the key, as far as this process remembers
)

// Decision is the result of a check.
type Decision struct {
	Verdict Verdict
	Tenant  string // name of the tenant that has the key, empty unless the verdict is Valid
}

// Allowed reports whether the caller may use the queue.
func (d Decision) Allowed() bool { return d.Verdict == Valid || d.Verdict == NotRequired }

// Check returns whether the configuration in force allows a call with a key digest to use one
// of its queues. The digest is empty if the call has no key.
func Check(st *state.Store, q *jobpb.Queue, digest []byte) Decision {
	if q.Anonymous || !st.Configuration().Authenticates {
		return Decision{Verdict: NotRequired}
	}
	if len(digest) == 0 {
		return Decision{Verdict: Missing}
	}
	if tenant := st.TenantByKey(digest); tenant != nil {
		return Decision{Verdict: Valid, Tenant: tenant.Name}
	}
	if st.KeyRevoked(digest) {
		return Decision{Verdict: Revoked}
	}
	return Decision{Verdict: Unknown}
}

// Digest returns the digest by which a key is known.
func Digest(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// DigestFromHeader returns the digest of the key in the values of a call's Authorization
// header, nil unless there is exactly one value of the form "Bearer KEY" (RFC 6750).
func DigestFromHeader(values []string) []byte {
	if len(values) != 1 {
		return nil
	}
	scheme, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	if !found || key == "" || !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return Digest(key)
}

// SeesJob reports whether a caller that may use a queue may see a job in it, and so read its
// state, cancel it and submit it again. A job belongs to the tenant whose key submitted it. A key
// that has moved to another tenant keeps the jobs that it submitted. A job that was submitted
// without a key, because none was required then, is visible to every caller of its queue.
func SeesJob(d Decision, digest []byte, j *jobpb.Job) bool {
	if d.Verdict == NotRequired || j.Tenant == "" {
		return true
	}
	return j.Tenant == d.Tenant || len(digest) > 0 && bytes.Equal(j.KeyDigest, digest)
}
