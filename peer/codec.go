package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/havenrudder/havenrudder/common/clock"
)

const (
	maxMessage     = 16 << 20         // bytes; a catalog of 8 MB, the most that is decompressed, fits in base64
	messageTimeout = 10 * time.Second // for the rest of a message whose first byte has arrived; calls end sooner
)

var errMessageTooLong = errors.New("peer: message too long")

// codec frames messages by a length prefix, and bounds their size and the time in which they arrive.
// An error closes the connection.
type codec struct {
	jsonrpc2.VarintObjectCodec // writes messages

	conn net.Conn
}

func newCodec(conn net.Conn) codec {
	return codec{
		conn: conn,
	}
}

// ReadObject reads the next message into v. It waits for its first byte for as long as the connection
// is open.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	if _, err := stream.Peek(1); err != nil {
		return err
	}
	if err := c.conn.SetReadDeadline(clock.SystemTime(clock.Now().Add(messageTimeout))); err != nil {
		return err
	}
	n, err := binary.ReadUvarint(stream)
	switch {
	case err != nil:
		return err
	case n > maxMessage:
		return errMessageTooLong
	}
	message := io.LimitReader(stream, int64(n))
	if err := json.NewDecoder(message).Decode(v); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, message); err != nil { // spaces after the value
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}
