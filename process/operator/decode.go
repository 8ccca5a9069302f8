package operator

import (
	"bytes"
	"encoding/json"
	"io"
)

// decodeStrict decodes data, which must hold exactly one JSON object without
// unknown members.
func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return malformed("the body is not the expected JSON object: "+err.Error(), "correct the body; docs/operators.md shows it")
	}
	if _, err := d.Token(); err != io.EOF {
		return malformed("the body has text after its JSON object", "send one object")
	}
	return nil
}

// firstError returns the first of errs that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
