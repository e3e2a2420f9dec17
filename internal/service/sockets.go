package service

import "roadcleat/internal/config"

// sockets is how the sockets that this controller may have are divided.
type sockets struct {
	callers int // connections of users, workers and health checks
	workers int // calls to workers
}

const (
	// defaultSockets is how many sockets are used where the settings name no limit.
	defaultSockets = 16384

	// reservedSockets and reservedSocketsPerPeer are for the state service, the cloud, the
	// other controllers and connections that are being closed; maxReservedShare bounds them,
	// as a divisor, where the limit is small.
	reservedSockets        = 64
	reservedSocketsPerPeer = 8
	maxReservedShare       = 3

	// workerShare is the share of the remaining sockets for calls to workers, as a divisor.
	workerShare    = 5
	minWorkerCalls = 4
)

// socketsFor divides the sockets: some are reserved, a share of the rest is for calls to
// workers, and the remainder for those who call.
func socketsFor(s *config.Settings) sockets {
	limit := s.Deployment.Resources.FDLimit
	if limit <= 0 {
		limit = defaultSockets
	}
	reserved := min(reservedSockets+reservedSocketsPerPeer*len(s.Others), limit/maxReservedShare)
	available := limit - reserved
	workers := max(available/workerShare, minWorkerCalls)
	return sockets{callers: available - workers, workers: workers}
}
