package grpcbalancer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
)

// callOutputs holds the values that grpc-go writes through call options. Attempts of one call may run at the same time, so each attempt has
// callOutputs of its own, and those of the attempt that answers the call are copied to the caller's variables.
type callOutputs struct {
	header, trailer metadata.MD
	peer            peer.Peer
}

// splitOptions separates the output options, by which grpc-go writes to the caller's variables or calls the caller back, from the others.
func splitOptions(options []grpc.CallOption) (plain, outputOptions []grpc.CallOption) {
	for i, option := range options {
		switch option.(type) {
		case grpc.HeaderCallOption, grpc.TrailerCallOption, grpc.PeerCallOption, grpc.OnFinishCallOption:
			if outputOptions == nil {
				plain = append(make([]grpc.CallOption, 0, len(options)), options[:i]...)
			}
			outputOptions = append(outputOptions, option)
		default:
			if outputOptions != nil {
				plain = append(plain, option)
			}
		}
	}
	if outputOptions == nil {
		return options, nil
	}
	return plain, outputOptions
}

// options returns the call options of an attempt. The caller's plain options stay as they are. Each output option is replaced by one that
// writes to out, except OnFinish functions: they are left out, because writeTo calls them.
func (out *callOutputs) options(plain, outputOptions []grpc.CallOption) []grpc.CallOption {
	if len(outputOptions) == 0 {
		return plain
	}
	options := append(make([]grpc.CallOption, 0, len(plain)+len(outputOptions)), plain...)
	for _, option := range outputOptions {
		switch option.(type) {
		case grpc.HeaderCallOption:
			options = append(options, grpc.Header(&out.header))
		case grpc.TrailerCallOption:
			options = append(options, grpc.Trailer(&out.trailer))
		case grpc.PeerCallOption:
			options = append(options, grpc.Peer(&out.peer))
		}
	}
	return options
}

// writeTo copies out to the caller's variables and calls its OnFinish functions with err. It is called once for each call.
func (out *callOutputs) writeTo(outputOptions []grpc.CallOption, err error) {
	for _, option := range outputOptions {
		switch option := option.(type) {
		case grpc.HeaderCallOption:
			*option.HeaderAddr = out.header
		case grpc.TrailerCallOption:
			*option.TrailerAddr = out.trailer
		case grpc.PeerCallOption:
			*option.PeerAddr = out.peer
		case grpc.OnFinishCallOption:
			option.OnFinish(err)
		}
	}
}
