package untrusted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against limits that refuse a job of the largest legal size although nothing else
// is going on.
func TestLargestJobIsServedInCalm(t *testing.T) {
	s := startSystem(t, manyDescriptors)
	body := smallJob + strings.Repeat(" ", callers.legal-len(smallJob))
	s.eventually("the job is accepted", func(s *system) bool {
		return s.succeeds(http.MethodPost, s.entry.address(portCallers), "/q/"+newJobID(), body)
	})
	s.eventually("the job is accepted at the queue", func(s *system) bool {
		body := smallQueueJob + strings.Repeat(" ", queueCallers.legal-len(smallQueueJob))
		return s.succeeds(http.MethodPut, s.entry.address(portMetrics), "/v1/queues/r/jobs/"+newJobID(), body)
	})
	s.checkAll()
}

// largeConfigurationBytes is the size of a large configuration, some ten times that of the
// largest in use.
const largeConfigurationBytes = 4 << 20

// Guards against limits that refuse a large configuration although nothing else is going on.
func TestLargeConfigurationIsServedInCalm(t *testing.T) {
	s := startSystem(t, manyDescriptors)
	const route = `{"name":"r-%d","host":"a.example","path-prefix":"/q-%d/","timeout-ms":3000,"target-latency-ms":600,"service":"pool","max-attempts":3,"stretch-factor":1.6}`
	var routes []string
	for size := 0; size < largeConfigurationBytes; {
		routes = append(routes, fmt.Sprintf(route, len(routes), len(routes)))
		size += len(routes[len(routes)-1])
	}
	body := `{"version":2,"routes":[` + strings.Join(routes, ",") + `],"services":[{"name":"pool"}],"limits":{}}`
	is.New(t).True(len(body) <= configurations.legal)
	s.eventually("the configuration is confirmed", func(s *system) bool {
		return s.succeeds(http.MethodPut, controlPlane(s), "/configuration", body)
	})
	s.eventually("the configuration is read", readConfiguration)
	s.checkAll()
}

// Guards against a report of the largest legal size that is refused although nothing else is
// going on.
func TestLargestReportIsServedInCalm(t *testing.T) {
	s := startSystem(t, manyDescriptors)
	s.eventually("the report is confirmed", func(s *system) bool {
		body := fmt.Sprintf(reportFormat, number.Add(1))
		return s.succeeds(http.MethodPut, controlPlane(s), "/executors/i-1", body+strings.Repeat(" ", reports.legal-len(body)))
	})
	s.checkAll()
}
