package api

import (
	"context"
	"net/http"

	"roadcleat/internal/core"
	"roadcleat/internal/wire"
)

// heartbeat serves workers.
func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	status, err := wire.DecodeWorkerStatus(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	effect, err := s.rt.Submit(ctx, core.Heartbeat{Status: *status})
	reply, ok := effect.(core.HeartbeatReply)
	if err != nil || !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if s.listener.nearLimit() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	switch reply.HTTPStatus {
	case http.StatusOK:
		s.write(w, wire.EncodeHeartbeatReply(reply.Token, reply.Commands))
	case http.StatusMisdirectedRequest:
		w.WriteHeader(reply.HTTPStatus)
		s.write(w, wire.EncodeRedirect(reply.Owner))
	default:
		w.WriteHeader(reply.HTTPStatus)
	}
}
