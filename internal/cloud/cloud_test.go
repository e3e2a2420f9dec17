package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"roadcleat/internal/core"
)

// list serves a list of so many machines, page by page.
func list(machines int, calls *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		after := -1
		if name := r.URL.Query().Get("After"); name != "" {
			after, _ = strconv.Atoi(strings.TrimPrefix(name, "vm-"))
		}
		size, _ := strconv.Atoi(r.URL.Query().Get("Page"))
		var hosts []map[string]any
		for i := after + 1; i < machines && len(hosts) < size; i++ {
			hosts = append(hosts, map[string]any{"Ref": fmt.Sprintf("vm-%06d", i), "Endpoint": "10.1.0.1:9000",
				"Breed": "g8", "Yard": "a", "Loaners": true, "Standing": "running", "HeldS": 9.5})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Hosts": hosts, "Truncated": after+1+len(hosts) < machines})
	}
}

func TestAListOfManyPagesIsReadToItsEnd(t *testing.T) {
	// Six thousand machines are twelve pages, and this share brings five calls a
	// second. The second page found no token, and the listing began anew for ever.
	var calls atomic.Int64
	srv := httptest.NewServer(list(6000, &calls))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 15, 0.33)
	res := c.Hosts(t.Context())
	assert.Equal(t, core.OutcomeOK, res.Outcome)
	assert.Len(t, res.Hosts, 6000)
	assert.Equal(t, int64(12), calls.Load())
	assert.Equal(t, "vm-005999", res.Hosts[5999].Name)
}

func TestAHireFindsATokenWhileAListIsRead(t *testing.T) {
	var calls atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", list(6000, &calls))
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Hosts":["vm-1"]}`)) })
	srv := httptest.NewServer(mux)
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 15, 0.33)
	go c.Hosts(t.Context())
	time.Sleep(time.Second)
	start := time.Now()
	assert.Equal(t, core.OutcomeOK, c.Rent(t.Context(), core.RentHosts{Name: "r-1", Type: "g8", Zone: "a", Count: 1}).Outcome)
	assert.Less(t, time.Since(start), 500*time.Millisecond, "pages leave a token to what is urgent")
}
