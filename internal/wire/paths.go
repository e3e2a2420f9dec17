package wire

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Paths that a controller serves to users. {id} is the placeholder of a job ID.
const (
	PathSubmit    = "/v2/runs"
	PathJobStatus = "/v2/runs/{id}"
	PathCancelJob = "/v2/runs/{id}/withdraw"
)

// PathHeartbeat is the path that a controller serves to workers.
const PathHeartbeat = "/agent/beat"

// Paths of the state service.
const (
	PathCommit     = "/commit"
	PathGrantLease = "/holds"
)

// Paths of the cloud.
const (
	PathCatalog     = "/catalog"
	PathHosts       = "/hosts"
	PathReturnHosts = "/hosts/return"
)

// Paths of a worker.
const (
	PathCommands     = "/orders"
	PathWorkerStatus = "/show"
)

// Values of the field "error" in replies of the state service and the cloud.
const (
	ErrorTextNoSuchLease = "no such lease"
	ErrorTextNoCapacity  = "no capacity"
)

// pageEntries is the requested number of entries in a page of a list.
const pageEntries = "500"

// PathReadKey returns the state service's path for reading a key.
func PathReadKey(key string) string { return "/store/" + key }

// PathListKeys returns the state service's path for a page of the keys with a prefix. The page
// starts after the key given in after, or with the first key if after is empty.
func PathListKeys(prefix, after string) string {
	query := url.Values{"Starts": {prefix}, "Page": {pageEntries}}
	if after != "" {
		query.Set("After", after)
	}
	return "/store?" + query.Encode()
}

// PathWatchKeys returns the state service's path for waiting, at most for the timeout, until
// keys with a prefix change after a revision.
func PathWatchKeys(prefix string, afterRevision uint64, timeout time.Duration) string {
	return fmt.Sprintf("/follow?Starts=%s&After=%d&WaitMs=%d", url.QueryEscape(prefix), afterRevision, timeout.Milliseconds())
}

// PathRenewLease returns the state service's path for renewing a lease.
func PathRenewLease(lease uint64) string {
	return PathGrantLease + "/" + strconv.FormatUint(lease, 10) + "/renew"
}

// PathListHosts returns the cloud's path for a page of the rented machines. The page starts
// after the machine named in after, or with the first machine if after is empty.
func PathListHosts(after string) string {
	path := PathHosts + "?Page=" + pageEntries
	if after != "" {
		path += "&After=" + url.QueryEscape(after)
	}
	return path
}
