package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// Keys are the public keys that may sign a bundle.
type Keys struct {
	list []key
}

type key struct {
	id       string
	public   ed25519.PublicKey
	notAfter time.Time // zero for never
}

// NewKeys returns the keys that the settings name.
func NewKeys(list []wire.PublicKey) (*Keys, error) {
	out := &Keys{}
	for _, k := range list {
		public, err := decodeKey(k.Public, ed25519.PublicKeySize)
		if err != nil {
			return nil, errors.Wrapf(err, "key %s", k.ID)
		}
		entry := key{
			id:     k.ID,
			public: public,
		}
		if k.NotAfter != "" {
			if entry.notAfter, err = time.Parse(time.RFC3339, k.NotAfter); err != nil {
				return nil, errors.Wrapf(err, "key %s", k.ID)
			}
		}
		out.list = append(out.list, entry)
	}
	return out, nil
}

func decodeKey(s string, size int) ([]byte, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, errors.Wrap(err, "base64")
	}
	if len(raw) != size {
		return nil, errors.Newf("%d bytes, want %d", len(raw), size)
	}
	return raw, nil
}

// ErrUnknownKey marks a head whose key is unknown or expired.
var ErrUnknownKey = errors.New("bundle: key unknown or expired")

// ErrBadSignature marks a head whose signature doesn't hold.
var ErrBadSignature = errors.New("bundle: bad signature")

// Verify says whether h is signed by one of the keys at now.
func (k *Keys) Verify(h wire.Head, now time.Time) error {
	sig, err := base64.StdEncoding.DecodeString(h.Sig)
	if err != nil {
		return ErrBadSignature
	}
	for _, entry := range k.list {
		if entry.id != h.Key || entry.expired(now) {
			continue
		}
		if ed25519.Verify(entry.public, signed(h), sig) {
			return nil
		}
		return ErrBadSignature
	}
	return ErrUnknownKey
}

func (k key) expired(now time.Time) bool {
	return !k.notAfter.IsZero() && now.After(k.notAfter)
}

// Sign returns the head of a version, signed with the key of that id.
func Sign(version int, root Hash, id string, private ed25519.PrivateKey) wire.Head {
	h := wire.Head{
		Version: version,
		Key:     id,
		Root:    string(root),
	}
	h.Sig = base64.StdEncoding.EncodeToString(ed25519.Sign(private, signed(h)))
	return h
}

// signed returns the bytes a signature covers; the prefix keeps the signature
// from being good for anything else.
func signed(h wire.Head) []byte {
	return fmt.Appendf(nil, "havenrudder bundle\n%d\n%s\n%s\n", h.Version, h.Key, h.Root)
}
