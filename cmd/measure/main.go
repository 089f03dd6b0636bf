// Command measure prints tables that compare orchiddrift, or variants of it, with alternatives. The figures are medians of alternating runs:
//
//	go run ./cmd/measure daemon    # the daemon and net/http/httputil.ReverseProxy
//	go run ./cmd/measure tls       # the daemon and ReverseProxy, with encryption on both sides
//	go run ./cmd/measure routes    # the daemon with 1, 100 and 10,000 routes
//	go run ./cmd/measure eureka    # time from a status change in a registry to the last request
//	go run ./cmd/measure subset    # algorithms that choose subsets of 5,000 upstreams, by assignment alone
//	go run ./cmd/measure many      # daemons with 5,000 upstreams, with and without subsets
//	go run ./cmd/measure door      # admission queues, concurrency limits, client retries and rejections, in virtual time
//	go run ./cmd/measure counters  # 20 tenants and a client that floods the daemon, over sockets
//	go run ./cmd/measure fleet     # 10 to 200 sidecars with 5,000 nodes, in virtual time
//	go run ./cmd/measure probes    # load probes of sidecars with little traffic, in virtual time
//	go run ./cmd/measure graphql   # GraphQL operations and plain requests through the daemon
//	go run ./cmd/measure repeats   # keyed requests without a store of keys and with stores in memory, on disk and shared
//	go run ./cmd/measure size      # small requests with concurrent large answers
//	go run ./cmd/measure load      # the load tool and a plain net/http client
//	go run ./cmd/measure grpc      # the plug-in and grpc-go's round_robin, weighted_round_robin and least_request
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"orchiddrift/internal/measure"
)

type options struct {
	Rounds int `default:"5" help:"Number of runs of each variant, in turn."`
	Calls  int `default:"20000" help:"Number of calls in each run."`
}

func (o options) options() measure.Options {
	return measure.Options{Rounds: max(1, o.Rounds), Calls: max(100, o.Calls), Out: os.Stdout}
}

type daemonCmd struct{ options }

func (c daemonCmd) Run() error { return measure.Daemon(c.options.options()) }

type sizeCmd struct{ options }

func (c sizeCmd) Run() error { return measure.LargeResponses(c.options.options()) }

type tlsCmd struct{ options }

func (c tlsCmd) Run() error { return measure.TLS(c.options.options()) }

type routesCmd struct{ options }

func (c routesCmd) Run() error { return measure.Routes(c.options.options()) }

type eurekaCmd struct{ options }

func (c eurekaCmd) Run() error { return measure.Eureka(c.options.options()) }

type subsetCmd struct{ options }

func (c subsetCmd) Run() error { return measure.Subset(c.options.options()) }

type manyCmd struct{ options }

func (c manyCmd) Run() error { return measure.LargeFleet(c.options.options()) }

type doorCmd struct{ options }

func (c doorCmd) Run() error { return measure.Admission(c.options.options()) }

type countersCmd struct{ options }

func (c countersCmd) Run() error { return measure.TenantFairness(c.options.options()) }

type fleetCmd struct {
	options
	Plot string `placeholder:"FILE" help:"The SVG file for a plot of connections per node by the number of sidecars."`
}

func (c fleetCmd) Run() error { return measure.Fleet(c.options.options(), c.Plot) }

type probesCmd struct{ options }

func (c probesCmd) Run() error { return measure.LoadProbes(c.options.options()) }

type graphqlCmd struct{ options }

func (c graphqlCmd) Run() error { return measure.GraphQL(c.options.options()) }

type repeatsCmd struct{ options }

func (c repeatsCmd) Run() error { return measure.Idempotency(c.options.options()) }

type loadCmd struct{ options }

func (c loadCmd) Run() error { return measure.Load(c.options.options()) }

type grpcCmd struct{ options }

func (c grpcCmd) Run() error { return measure.GRPC(c.options.options()) }

func main() {
	if isChild, err := measure.RunChild(); isChild {
		if err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
		return
	}
	var cli struct {
		Daemon   daemonCmd   `cmd:"" help:"The daemon and ReverseProxy."`
		TLS      tlsCmd      `cmd:"" name:"tls" help:"The daemon and ReverseProxy, with encryption on both sides."`
		Size     sizeCmd     `cmd:"" help:"Small requests with concurrent large answers, through the daemon and ReverseProxy."`
		Routes   routesCmd   `cmd:"" help:"The daemon with 1, 100 and 10,000 routes."`
		Eureka   eurekaCmd   `cmd:"" help:"Time from a status change in an Eureka registry to the last request; memory with 5,000 instances."`
		Subset   subsetCmd   `cmd:"" help:"Algorithms that choose subsets of 5,000 upstreams."`
		Many     manyCmd     `cmd:"" help:"Daemons with 5,000 upstreams, with and without subsets."`
		Door     doorCmd     `cmd:"" help:"Admission queues, concurrency limits, client retries and rejections, in virtual time."`
		Counters countersCmd `cmd:"" help:"Twenty tenants and a client that floods the daemon."`
		Fleet    fleetCmd    `cmd:"" help:"Fleets of 10 to 200 sidecars with 5,000 nodes, in virtual time."`
		Probes   probesCmd   `cmd:"" help:"Load probes of sidecars with little traffic."`
		GraphQL  graphqlCmd  `cmd:"" name:"graphql" help:"GraphQL operations, compared with plain requests and with a random choice of nodes."`
		Repeats  repeatsCmd  `cmd:"" help:"Keyed requests without a store of keys, and with stores in memory, on disk and shared."`
		Load     loadCmd     `cmd:"" help:"The load tool and a plain net/http client, and the delays of its own requests by rate."`
		GRPC     grpcCmd     `cmd:"" name:"grpc" help:"The plug-in and grpc-go's balancers."`
	}
	ctx := kong.Parse(&cli, kong.Name("measure"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
