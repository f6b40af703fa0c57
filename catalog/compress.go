package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	maxDecompressed = 8 << 20 // bytes
	minCompressed   = 8 << 10 // bytes from which a catalog update is compressed
)

// EncodedNews is a catalog update as it is sent to another box.
type EncodedNews struct {
	News       *News  `json:"news,omitempty"`
	Compressed []byte `json:"compressed,omitempty"` // the same, if it is large
	Wait       Millis `json:"wait_ms,omitempty"`    // until the sender is below its rate limit, if it can't answer now
	Read       Millis `json:"read_ms,omitempty"`    // age of the last read of the publisher that found nothing newer; 0 if unknown
}

// Encode returns the catalog update as it is sent to another box, compressed if it is large.
func (n News) Encode() (EncodedNews, error) {
	if !n.isLarge() {
		return EncodedNews{
			News: &n,
		}, nil
	}
	out, err := compress(n)
	return EncodedNews{
		Compressed: out,
	}, err
}

// isLarge reports whether the catalog update is worth compressing.
func (n News) isLarge() bool {
	const replicaBytes = 160 // typical length in JSON
	items := len(n.Changes)
	if n.Snapshot != nil {
		items += len(n.Snapshot.Replicas)
	}
	return items*replicaBytes > minCompressed
}

// Decode returns the catalog update.
func (p EncodedNews) Decode() (out News, err error) {
	if p.Wait > 0 {
		out.Wait = p.Wait
		return out, nil
	}
	if p.News != nil {
		out = *p.News
	} else {
		err = decompress(p.Compressed, &out)
	}
	out.Read = p.Read
	return out, err
}

func compress(v any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "press")
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
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
