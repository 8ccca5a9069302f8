package jobs

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

const (
	// compressAboveBytes is the size of an encoded configuration from which its document is
	// stored compressed. Processes that can't read such a document can't store one that
	// large either.
	compressAboveBytes = 2 << 20
	maxDocumentBytes   = 64 << 20
)

// compressDocument returns a configuration that is equal to c but holds its document
// compressed if it is large, so that it fits into an entry of the log.
func compressDocument(c *jobpb.Configuration) (*jobpb.Configuration, error) {
	if proto.Size(c) <= compressAboveBytes {
		return c, nil
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if _, err := w.Write(c.Document); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	stored := proto.CloneOf(c)
	stored.Document, stored.DocumentGzip = nil, packed.Bytes()
	return stored, nil
}

// rereadConfiguration reads the document in force again if an earlier build has read it, which may
// not have known members that restrict what callers may do, and puts what it says in force. It is
// called before a leader takes calls.
func (c *Control) rereadConfiguration(ctx context.Context) error {
	var stored *jobpb.Configuration
	c.viewStore(func(st *state.Store) { stored = st.Configuration() })
	if c.o.DecodeConfiguration == nil || stored.Version == 0 {
		return nil
	}
	document, err := documentOf(stored)
	if err != nil {
		return err
	}
	conf, err := c.o.DecodeConfiguration(document)
	if err != nil {
		c.log.Error().Err(err).Uint64("version", stored.Version).Msg("the stored configuration is invalid for this build: it stays in force as an earlier one has read it; send a valid one")
		return nil
	}
	if conf.Reading <= stored.Reading {
		return nil
	}
	conf.Document, conf.DocumentGzip = stored.Document, stored.DocumentGzip
	data, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{{Change: &jobpb.Entry_Configure{Configure: conf}}}})
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	if _, err := c.group.Propose(ctx, data); err != nil {
		return err
	}
	c.log.Info().Uint64("version", conf.Version).Uint32("reading", conf.Reading).Bool("authenticates", conf.Authenticates).Int("tenants", len(conf.Tenants)).
		Msg("the stored configuration was read again by a newer build")
	return nil
}

// documentOf returns a configuration's document as the operator sent it.
func documentOf(c *jobpb.Configuration) ([]byte, error) {
	if len(c.DocumentGzip) == 0 {
		return c.Document, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.DocumentGzip))
	if err != nil {
		return nil, errors.Wrap(err, "read the stored configuration")
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the stored configuration")
	}
	return document, nil
}
