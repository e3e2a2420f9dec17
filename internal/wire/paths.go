package wire

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Endpoints that a controller serves to users. {id} stands for a job id.
const (
	PathSubmit    = "/v2/runs"
	PathJobStatus = "/v2/runs/{id}"
	PathCancelJob = "/v2/runs/{id}/withdraw"
)

// PathHeartbeat is the endpoint that a controller serves to workers.
const PathHeartbeat = "/agent/beat"

// Endpoints of the state service.
const (
	PathCommit     = "/commit"
	PathGrantLease = "/holds"
)

// Endpoints of the cloud.
const (
	PathCatalog     = "/catalog"
	PathHosts       = "/hosts"
	PathReturnHosts = "/hosts/return"
)

// Endpoints of a worker.
const (
	PathCommands     = "/orders"
	PathWorkerStatus = "/show"
)

// Texts of the field "error" in replies of the state service and the cloud.
const (
	ErrorNoSuchLease = "no such lease"
	ErrorNoCapacity  = "no capacity"
)

// pageSize is how many entries a page of a listing is asked to have.
const pageSize = "500"

// PathKey is the state service's endpoint that reads a key.
func PathKey(key string) string { return "/store/" + key }

// PathKeys is the state service's endpoint that lists keys with a prefix, beginning after the
// key given, if it is not empty.
func PathKeys(prefix, after string) string {
	query := url.Values{"Starts": {prefix}, "Page": {pageSize}}
	if after != "" {
		query.Set("After", after)
	}
	return "/store?" + query.Encode()
}

// PathWatch is the state service's endpoint that waits for changes after a revision.
func PathWatch(prefix string, afterRevision uint64, wait time.Duration) string {
	return fmt.Sprintf("/follow?Starts=%s&After=%d&WaitMs=%d", url.QueryEscape(prefix), afterRevision, wait.Milliseconds())
}

// PathRenewLease is the state service's endpoint that renews a lease.
func PathRenewLease(lease uint64) string {
	return PathGrantLease + "/" + strconv.FormatUint(lease, 10) + "/renew"
}

// PathHostsPage is the cloud's endpoint that lists rented machines, beginning after the name
// given, if it is not empty.
func PathHostsPage(after string) string {
	path := PathHosts + "?Page=" + pageSize
	if after != "" {
		path += "&After=" + url.QueryEscape(after)
	}
	return path
}
