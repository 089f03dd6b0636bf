package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/balancer/leastrequest"
	"google.golang.org/grpc/balancer/roundrobin"
	"google.golang.org/grpc/balancer/weightedroundrobin"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
)

const plugin = "grpcbalancer"

// policies are the balancers of grpc-go with their service configs, and the plug-in, which needs no service config.
var policies = []struct{ name, config string }{
	{roundrobin.Name, `{"loadBalancingConfig":[{"round_robin":{}}]}`},
	{weightedroundrobin.Name, `{"loadBalancingConfig":[{"weighted_round_robin":{"blackoutPeriod":"0.5s","weightUpdatePeriod":"0.5s"}}]}`},
	{leastrequest.Name, `{"loadBalancingConfig":[{"least_request_experimental":{"choiceCount":2}}]}`},
	{plugin, ""},
}

// GRPC prints a comparison of the plug-in with grpc-go's own balancers. It uses ten nodes, which are all healthy or of
// which one is 8 times slower. Each client is a process on one core and sends in a closed loop. The nodes send ORCA load
// reports, which weighted_round_robin uses.
func GRPC(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tpeer\tCPU a call\tallocations\tp50\tp99\tCPU ratio\tp99 ratio\t")
	for _, c := range []struct {
		name    string
		work    time.Duration
		slow    float64
		workers int
		calls   int
	}{
		{"instant", 0, 0, 16, o.Calls},
		{"5 ms", 5 * time.Millisecond, 0, 64, o.Calls},
		{"5 ms, one in ten 8x slower", 5 * time.Millisecond, 8, 64, o.Calls},
	} {
		var addresses []string
		nodes, err := startChild(childRole{Part: "nodes", Nodes: 10, GRPC: true, Work: c.work, Slow: c.slow}, &addresses)
		if err != nil {
			return err
		}
		figuresByPolicy := map[string][]Figures{}
		for range o.Rounds {
			for _, p := range policies {
				var f Figures
				client, err := startChild(childRole{Part: "client", Addresses: addresses, Policy: p.name, Workers: c.workers, Calls: c.calls, Warm: c.calls / 3}, &f)
				if err != nil {
					return errors.Join(err, nodes.stop())
				}
				if err := client.stop(); err != nil {
					return errors.Join(err, nodes.stop())
				}
				figuresByPolicy[p.name] = append(figuresByPolicy[p.name], f)
			}
		}
		for _, p := range policies {
			printRow(w, c.name, p.name, median(figuresByPolicy[p.name]), median(figuresByPolicy[roundrobin.Name]))
		}
		if err := nodes.stop(); err != nil {
			return err
		}
	}
	return w.Flush()
}

// runClient runs the role of a gRPC client. It makes its calls, and writes its figures to standard output.
func (r childRole) runClient() error {
	conn, closeConn, err := r.dial()
	if err != nil {
		return err
	}
	defer closeConn()
	req := wrapperspb.String("seat 4")
	var before usage
	latencies, err := closedLoop(r.Workers, r.Warm, r.Calls, func(int, int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return conn.Invoke(ctx, "/booking.Seats/Search", req, &wrapperspb.StringValue{})
	}, func() error {
		before = currentUsage()
		return nil
	})
	if err != nil {
		return fmt.Errorf("calls through %s: %w", r.Policy, err)
	}
	return json.NewEncoder(os.Stdout).Encode(figures(before, currentUsage(), latencies))
}

// dial returns a connection whose balancer is the one that Policy names, and a function that closes the connection and, if
// there is one, the Plugin.
func (r childRole) dial() (*grpc.ClientConn, func(), error) {
	creds := grpc.WithTransportCredentials(insecure.NewCredentials())
	if r.Policy == plugin {
		o := grpcbalancer.Options{Settings: balancerSettings(), Seed: 1, Methods: map[string]string{"/booking.Seats/*": "search"}}
		for i, address := range r.Addresses {
			o.Endpoints = append(o.Endpoints, grpcbalancer.Endpoint{Name: fmt.Sprint("n", i), Address: address, Zone: "a"})
		}
		p, err := grpcbalancer.New(o)
		if err != nil {
			return nil, nil, err
		}
		conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), creds)...)
		return conn, func() {
			if conn != nil {
				conn.Close()
			}
			p.Close()
		}, err
	}
	config := ""
	for _, p := range policies {
		if p.name == r.Policy {
			config = p.config
		}
	}
	list := manual.NewBuilderWithScheme("list")
	var state resolver.State
	for _, address := range r.Addresses {
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: address}}})
	}
	list.InitialState(state)
	conn, err := grpc.NewClient("list:///nodes", creds, grpc.WithResolvers(list), grpc.WithDefaultServiceConfig(config))
	if err != nil {
		return nil, nil, err
	}
	return conn, func() { conn.Close() }, nil
}
