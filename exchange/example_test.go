package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/havenrudder/havenrudder/exchange"
)

func ExamplePool_Do() {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "you asked for %s", r.RequestURI)
	}))
	defer srv.Close()

	pool := exchange.NewPool()
	defer pool.Close()
	response, err := pool.Do(context.Background(), exchange.Request{
		Addr:   srv.Listener.Addr().String(),
		Method: http.MethodGet,
		Target: "//models?all",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = response.Close() }()
	body, err := io.ReadAll(response)
	fmt.Println(response.Status(), string(body), err)
	// Output: 200 you asked for //models?all <nil>
}

func ExampleError_Sent() {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}))
	defer srv.Close()

	pool := exchange.NewPool()
	defer pool.Close()
	_, err := pool.Do(context.Background(), exchange.Request{
		Addr:   srv.Listener.Addr().String(),
		Target: "/",
	})
	var failure *exchange.Error
	if errors.As(err, &failure) {
		fmt.Println(failure.Stage(), failure.Sent())
	}
	// Output: response true
}
