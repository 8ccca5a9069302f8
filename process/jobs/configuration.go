package jobs

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
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
