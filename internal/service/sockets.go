package service

import "roadcleat/internal/config"

// socketLimits divides the sockets that this controller may open between incoming connections
// and calls to workers.
type socketLimits struct {
	incoming    int // connections from users, workers, operators and health checks
	workerCalls int // concurrent calls to workers
}

const (
	// defaultSocketLimit is the limit of open sockets if the settings contain none.
	defaultSocketLimit = 16384

	// reservedSockets and reservedSocketsPerPeer are the numbers of sockets that are reserved
	// for the state service, the cloud, the other controllers and connections that are being
	// closed.
	reservedSockets        = 64
	reservedSocketsPerPeer = 8

	// maxReservedDivisor bounds the reserved sockets to a third of the limit, which matters if
	// the limit is small.
	maxReservedDivisor = 3

	// workerCallDivisor makes a fifth of the remaining sockets available for calls to workers.
	workerCallDivisor = 5

	// minWorkerCalls is the lower bound of the sockets for calls to workers.
	minWorkerCalls = 4
)

// divideSockets divides the limit of open sockets: some are reserved, a fifth of the rest is for
// calls to workers, and the remainder is for incoming connections.
func divideSockets(settings *config.Settings) socketLimits {
	limit := settings.Deployment.Resources.MaxFileDescriptors
	if limit <= 0 {
		limit = defaultSocketLimit
	}
	reserved := min(reservedSockets+reservedSocketsPerPeer*len(settings.Peers), limit/maxReservedDivisor)
	available := limit - reserved
	workerCalls := max(available/workerCallDivisor, minWorkerCalls)
	return socketLimits{incoming: available - workerCalls, workerCalls: workerCalls}
}
