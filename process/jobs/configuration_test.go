package jobs

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// configurationWithRoutes returns a configuration with a number of queues, and a document
// about as large as that of an operator.
func configurationWithRoutes(n int) *jobpb.Configuration {
	c := &jobpb.Configuration{Version: 7}
	var document bytes.Buffer
	for i := range n {
		q := &jobpb.Queue{Name: fmt.Sprintf("r-%07d", i), Host: "jepu9.example", Prefix: fmt.Sprintf("/bobo563/lo%d/", i), Pool: "wuno96b",
			MaxAttempts: 3, Stretch: 2.2, TargetMs: 2500, TimeoutMs: 3000}
		c.Queues = append(c.Queues, q)
		fmt.Fprintf(&document, `{"name":%q,"host":%q,"path-prefix":%q,"kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":2500,`+
			`"priority":0,"service":"wuno96b","max-attempts":3,"stretch-factor":2.2},`, q.Name, q.Host, q.Prefix)
	}
	c.Document = document.Bytes()
	return c
}

// Guards against a valid configuration of thousands of routes that is refused because an
// entry of the log can't hold its document and its decoded form together.
func TestLargeConfigurationIsStored(t *testing.T) {
	is := is.New(t)
	small := configurationWithRoutes(100)
	packed, err := compressDocument(small)
	is.NoErr(err)
	is.Equal(packed, small)
	large := configurationWithRoutes(20_000)
	is.True(proto.Size(large) > maxBatchBytes)
	packed, err = compressDocument(large)
	is.NoErr(err)
	s := newUpkeepFixture(t).session
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: packed}}, func(_ bool, err error) { is.NoErr(err) })
	data, waiters := s.nextBatch()
	is.Equal(len(waiters), 1)
	is.True(len(data) > 0)
	command := &jobpb.Command{}
	is.NoErr(proto.Unmarshal(data, command))
	stored := command.Entries[0].GetConfigure()
	is.Equal(len(stored.Queues), len(large.Queues))
	document, err := documentOf(stored)
	is.NoErr(err)
	is.True(bytes.Equal(document, large.Document)) // it is read back as it was sent
}

// Guards against a large configuration that loses a member when its document is compressed: one
// without its tenants would ask no caller for a key.
func TestCompressedConfigurationKeepsAllMembers(t *testing.T) {
	is := is.New(t)
	c := configurationWithRoutes(20_000)
	c.Queues[0].Anonymous = true
	c.Pools = []*jobpb.Pool{{Name: "wuno96b"}}
	c.Authenticates = true
	c.Tenants = []*jobpb.Tenant{{Name: "t1", KeyDigests: [][]byte{{1}}}}
	packed, err := compressDocument(c)
	is.NoErr(err)
	is.True(len(packed.DocumentGzip) > 0)
	want := proto.CloneOf(c)
	want.Document, want.DocumentGzip = nil, packed.DocumentGzip
	is.True(proto.Equal(packed, want))
}

// Guards against a configuration that stays in force as an earlier build has read it, without the
// members that this build knows, and against one that another document replaces under its version.
func TestLeaderRereadsTheConfigurationOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	c := newKeyedControl(t)
	earlier := &jobpb.Configuration{Version: 3, Document: []byte("document"), Queues: []*jobpb.Queue{{Name: "ledger", Host: "h", Prefix: "/q/", Pool: "pool"}}}
	applyEntries(t, c.store, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: earlier}})
	c.group = overtakenLog{store: c.store, first: func() {}}
	refusal := func() *jobpb.Response {
		_, refused := resolveCall(c.store, &jobpb.Request{Queue: "ledger", Id: "0123456789abcdef"})
		return refused
	}
	is.NoErr(c.rereadConfiguration(t.Context())) // without a decoder
	is.Equal(refusal(), nil)
	invalid := errors.New("invalid")
	c.o.DecodeConfiguration = func([]byte) (*jobpb.Configuration, error) { return nil, invalid }
	is.NoErr(c.rereadConfiguration(t.Context())) // a leader that can't read it leads all the same
	is.Equal(refusal(), nil)
	c.o.DecodeConfiguration = func(document []byte) (*jobpb.Configuration, error) {
		return &jobpb.Configuration{Version: 3, Document: document, Queues: earlier.Queues, Authenticates: true, Reading: 1}, nil
	}
	is.NoErr(c.rereadConfiguration(t.Context()))
	is.Equal(refusal().GetOutcome(), jobpb.Response_UNAUTHORIZED)
	other := &jobpb.Configuration{Version: 3, Document: []byte("other"), Queues: earlier.Queues, Reading: 2}
	applyEntries(t, c.store, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: other}})
	applyEntries(t, c.store, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: earlier}})
	is.Equal(refusal().GetOutcome(), jobpb.Response_UNAUTHORIZED)
}
