package ticket

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// maxEncoded bounds the header that carries a ticket, in bytes.
const maxEncoded = 1024

// Encode returns the form in which a caller holds a ticket.
func Encode(t wire.Ticket) string {
	data, err := json.Marshal(t)
	if err != nil {
		panic(errors.Wrap(err, "ticket")) // plain strings and numbers always encode
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode returns the ticket that s stands for.
func Decode(s string) (wire.Ticket, error) {
	var t wire.Ticket
	if len(s) > maxEncoded {
		return t, errors.New("ticket: too long")
	}
	data, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return t, errors.Wrap(err, "ticket")
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return wire.Ticket{}, errors.Wrap(err, "ticket")
	}
	return t, nil
}
