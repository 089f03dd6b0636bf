// Package measure compares the daemon with net/http/httputil.ReverseProxy, and the gRPC balancer with the balancers of grpc-go, over the same
// fake nodes in one run; other measurements run simulations in virtual time. cmd/measure prints the tables, and
// docs/design/measurement.md explains them.
//
// Nodes, proxies and gRPC clients are child processes of the same program (RunChild, startChild), so that the CPU time of each is its own.
// Peers run in turn, and the medians of the rounds are printed. Only cmd/measure and the package's benchmarks import it.
package measure
