package grpcbalancer_test

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
)

// This client balances its calls over an endpoint list that is given in Go. LoadOptions reads the same options from a file.
func Example() {
	// Starts a fake booking node. In production, the endpoint list comes from discovery.
	node := fakes.NewNode(fakes.NodeOptions{Name: "s-1", Answer: func(fakes.Job) []byte {
		seat, _ := proto.Marshal(wrapperspb.String("coach 4, seat 17"))
		return seat
	}})
	defer node.Close()
	address, err := node.ListenGRPC("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}

	plugin, err := grpcbalancer.New(grpcbalancer.Options{
		Settings: balancer.Settings{
			Classes: []balancer.Class{
				{Name: "search", Idempotency: balancer.Idempotent, LatencyObjective: 800 * time.Millisecond, Deadline: 1500 * time.Millisecond},
				{Name: "confirm", Idempotency: balancer.NonIdempotent, LatencyObjective: 1200 * time.Millisecond, Deadline: 5 * time.Second},
			},
			MaxAttempts: 5, CancellationAllowed: true, HedgingAllowed: true,
		},
		Endpoints: []grpcbalancer.Endpoint{{Name: "s-1", Address: address}},
		Methods:   map[string]string{"/booking.Seats/Search": "search"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer plugin.Close()
	conn, err := grpc.NewClient(plugin.Target(),
		append(plugin.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()

	seat := &wrapperspb.StringValue{}
	err = conn.Invoke(context.Background(), "/booking.Seats/Search", wrapperspb.String("Nairobi to Mombasa"), seat)
	fmt.Println(seat.GetValue(), err)
	// Output: coach 4, seat 17 <nil>
}
