package box

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/internal/fakes"
)

func TestNoMoreConnectionsAreOpenThanTheSettingsSay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork()
		inner, err := n.Listen("box")("tcp", "")
		is.NoErr(err)
		l := newBounded(inner, 2)
		accepted := make(chan net.Conn, 3)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		dial := n.Dial("caller")
		for range 3 {
			go func() { _, _ = dial(t.Context(), "tcp", l.Addr().String()) }()
		}
		time.Sleep(time.Minute)
		is.Equal(len(accepted), 2)
		first := <-accepted
		is.NoErr(first.Close())
		is.NoErr(first.Close()) // a second time frees no second place
		time.Sleep(time.Minute)
		is.Equal(len(accepted), 2)
		is.NoErr(l.Close())
		_ = (<-accepted).Close()
	})
}
