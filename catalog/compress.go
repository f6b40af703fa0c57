package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	maxDecompressed = 8 << 20 // bytes; 4,000 replicas take 0.7 MB, a published value 1 MB at most
	minCompressed   = 8 << 10 // bytes from which a catalog update is compressed
)

// EncodedChangeSet is a catalog update as it is sent to another box.
type EncodedChangeSet struct {
	ChangeSet  *ChangeSet `json:"news,omitempty"`
	Compressed []byte     `json:"compressed,omitempty"` // the same, if it is large
	RetryAfter Millis     `json:"wait_ms,omitempty"`    // until the sender is below its rate limit, if it can't answer now
	ReadAge    Millis     `json:"read_ms,omitempty"`    // age of the last read of the publisher that found nothing newer; 0 if unknown
}

// Encode returns the catalog update as it is sent to another box, compressed if it is large.
func (n ChangeSet) Encode() (EncodedChangeSet, error) {
	if !n.isLarge() {
		return EncodedChangeSet{
			ChangeSet: &n,
		}, nil
	}
	out, err := compress(n)
	return EncodedChangeSet{
		Compressed: out,
	}, err
}

// isLarge reports whether the catalog update is worth compressing.
func (n ChangeSet) isLarge() bool {
	const replicaBytes = 160 // typical length in JSON
	items := len(n.Changes)
	if n.Snapshot != nil {
		items += len(n.Snapshot.Replicas)
	}
	return items*replicaBytes > minCompressed
}

// Decode returns the catalog update.
func (p EncodedChangeSet) Decode() (out ChangeSet, err error) {
	if p.RetryAfter > 0 {
		out.RetryAfter = p.RetryAfter
		return out, nil
	}
	if p.ChangeSet != nil {
		out = *p.ChangeSet
	} else {
		err = decompress(p.Compressed, &out)
	}
	out.ReadAge = p.ReadAge
	return out, err
}

func compress(v any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "press")
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false) // each of these signs takes six bytes
	if err := e.Encode(v); err != nil {
		return nil, errors.Wrap(err, "press")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "press")
	}
	return out.Bytes(), nil
}

// decompress decodes the output of compress.
func decompress(data []byte, out any) error {
	r := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = r.Close() }() // a reader has nothing to flush
	return errors.Wrap(json.NewDecoder(io.LimitReader(r, maxDecompressed)).Decode(out), "compressed")
}
