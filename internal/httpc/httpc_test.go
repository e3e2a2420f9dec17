package httpc

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestACallWithoutAConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	res := New(addr, 1, 1).Do(t.Context(), time.Second, http.MethodGet, "/", nil)
	assert.True(t, res.NotSent)
	var dialErr *DialError
	require.ErrorAs(t, res.Err, &dialErr)
	assert.Equal(t, addr, dialErr.Addr)
}

func TestACallWhoseConnectionBreaksMayHaveBeenSent(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	res := New(strings.TrimPrefix(srv.URL, "http://"), 1, 1).Do(t.Context(), time.Second, http.MethodPost, "/", []byte("{}"))
	assert.Error(t, res.Err)
	assert.False(t, res.NotSent)
}

func TestAReplyBeyondTheBoundIsTooLarge(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), maxBody+1))
	}))
	t.Cleanup(srv.Close)
	res := New("", 1, 1).Do(t.Context(), 5*time.Second, http.MethodGet, srv.URL, nil)
	assert.ErrorIs(t, res.Err, ErrTooLarge)
	assert.Equal(t, http.StatusOK, res.Status)
}
