package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

const (
	// callerKey is the API key of the soak's callers. Every configuration has it.
	callerKey     = "kept"
	rotationPause = 250 * time.Millisecond // between two configurations
	intruderPause = 15 * time.Millisecond  // between two calls without a valid key
)

// configuration returns a configuration with the callers' tenant and one whose only key differs
// in each version.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","path-prefix":"/q/","timeout-ms":3000,"target-latency-ms":600,
	"service":"pool","max-attempts":3,"stretch-factor":1.6}],"services":[{"name":"pool"}],
	"tenants":[{"name":"callers","api-keys":[%q]},{"name":"rotating","api-keys":[%q]}]}`, version, callerKey, rotatingKey(version))
}

func rotatingKey(version int) string { return fmt.Sprint("rotating-", version) }

// rotateKeys puts one configuration after the other in force until a time.
func (s *soak) rotateKeys(until time.Time) {
	rng := rand.New(rand.NewPCG(s.seed, 2000))
	for version := 2; time.Now().Before(until); version++ {
		to := s.interfaceRelays[s.processes[rng.IntN(s.fleet.controls)]].Address()
		if code, _ := s.call(http.MethodPut, to, "", "/configuration", configuration(version)); code == http.StatusOK {
			s.confirmedVersion.Store(int64(version))
		}
		time.Sleep(rotationPause)
	}
}

// intrude calls with keys that no configuration has, or that were taken away before the call is
// sent, until a time. None of the calls may be answered with success.
func (s *soak) intrude(until time.Time) {
	if os.Getenv("MARJORAMTILLER_OLDER_BUILD") != "" {
		return // that build may know no keys
	}
	rng := rand.New(rand.NewPCG(s.seed, 3000))
	for time.Now().Before(until) {
		key := "never"
		if confirmed := int(s.confirmedVersion.Load()); confirmed > 1 && rng.IntN(2) == 0 {
			key = rotatingKey(confirmed - 1 - rng.IntN(min(3, confirmed-1)))
		}
		path := fmt.Sprintf("/q/%016x", rng.Uint64())
		method := []string{http.MethodPost, http.MethodGet, http.MethodDelete}[rng.IntN(3)]
		if id := s.acceptedJob(rng); id != "" && rng.IntN(2) == 0 {
			path = "/q/" + id
		}
		code, _ := s.callWithKey(method, s.entry(rng), "a.example", path, smallJob, key)
		if code == http.StatusOK || code == http.StatusGone {
			s.t.Errorf("%s %s with the key %s, which is not valid, was answered with %d", method, path, key, code)
		}
		s.refusedCalls.Add(1)
		time.Sleep(intruderPause)
	}
}

// acceptedJob returns a random accepted job, empty if there is none.
func (s *soak) acceptedJob(rng *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepted) == 0 {
		return ""
	}
	return s.accepted[rng.IntN(len(s.accepted))]
}
