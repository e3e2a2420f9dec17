package cloud

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// serve starts a cloud and returns its address.
func serve(t *testing.T, handler http.Handler) (addr string) {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// listHosts serves a list of so many machines, page by page, and counts the pages.
func listHosts(machines int, pages *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		pages.Add(1)
		after := -1
		if name := r.URL.Query().Get("After"); name != "" {
			after, _ = strconv.Atoi(strings.TrimPrefix(name, "vm-"))
		}
		size, _ := strconv.Atoi(r.URL.Query().Get("Page"))
		var hosts []map[string]any
		for i := after + 1; i < machines && len(hosts) < size; i++ {
			hosts = append(hosts, map[string]any{
				"Ref":      fmt.Sprintf("vm-%06d", i),
				"Endpoint": "10.1.0.1:9000",
				"Breed":    "g8",
				"Yard":     "a",
				"Loaners":  true,
				"Standing": "running",
				"HeldS":    9.5,
			})
		}
		truncated := after+1+len(hosts) < machines
		_ = json.NewEncoder(w).Encode(map[string]any{"Hosts": hosts, "Truncated": truncated})
	}
}

func TestAListOfManyPagesIsReadToItsEnd(t *testing.T) {
	// Six thousand machines are twelve pages, and this share brings five calls a second. A
	// page that finds no token must wait for one: a listing given up for that begins anew
	// and never ends.
	var pages atomic.Int64
	c := New(serve(t, listHosts(6000, &pages)), 15, 0.33)
	res := c.Hosts(t.Context())
	assert.Equal(t, core.OutcomeOK, res.Outcome)
	assert.Len(t, res.Hosts, 6000)
	assert.Equal(t, int64(12), pages.Load())
	assert.Equal(t, "vm-005999", res.Hosts[5999].Name)
}

func TestARentalFindsATokenWhileAListIsRead(t *testing.T) {
	var pages atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", listHosts(6000, &pages))
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Hosts":["vm-1"]}`)
	})
	c := New(serve(t, mux), 15, 0.33)
	go c.Hosts(t.Context())
	// By the fourth page the listing has used all tokens that it may use.
	require.Eventually(t, func() bool { return pages.Load() >= 4 }, 10*time.Second, 5*time.Millisecond)
	start := time.Now()
	res := c.Rent(t.Context(), core.RentHosts{Name: "r-1", Type: "g8", Zone: "a", Count: 1})
	assert.Equal(t, core.OutcomeOK, res.Outcome)
	assert.Less(t, time.Since(start), 500*time.Millisecond, "a listing leaves tokens to urgent calls")
}
