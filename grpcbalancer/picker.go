package grpcbalancer

import (
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
)

// picker implements balancer.Picker: it returns the SubConn to the upstream that the engine decided on for the attempt.
type picker struct{ balancer *subConnBalancer }

// Pick implements balancer.Picker. grpc-go calls it from the RPC's goroutine. It does not block: ErrNoSubConnAvailable makes grpc-go pick
// again after the next updatePicker, and any other error ends the RPC.
func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	a := attemptFromContext(info.Ctx)
	if a == nil {
		return balancer.PickResult{}, errNotDecided
	}
	if err := a.checkPick(); err != nil {
		return balancer.PickResult{}, err
	}
	p.balancer.mu.RLock()
	s := p.balancer.subConns[a.upstream]
	state := connectivity.Connecting // until the resolver has passed on the endpoint list that the engine used
	if s != nil && s.instance == a.instance {
		state = s.state
	}
	p.balancer.mu.RUnlock()
	switch state {
	case connectivity.Ready:
		if !a.claimConnection() {
			return balancer.PickResult{}, errConnectFailed
		}
		return balancer.PickResult{SubConn: s.conn, Done: a.streamDone}, nil
	case connectivity.TransientFailure:
		return balancer.PickResult{}, a.connectFailed()
	case connectivity.Idle:
		s.conn.Connect()
	}
	a.startConnectTimer()
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}
