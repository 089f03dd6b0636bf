// Package measure compares the daemon with net/http/httputil.ReverseProxy, and the gRPC balancer with the balancers of grpc-go. The compared
// peers use the same fake nodes in the same run. Other measurements are simulations in virtual time. cmd/measure prints the tables, and
// docs/design/measurement.md explains them.
//
// Nodes, proxies and gRPC clients are child processes of the same program (RunChild, startChild), so that the CPU time of each of them is
// measured separately. The compared peers run in turn, and the tables contain the medians of the rounds. Only cmd/measure and the benchmarks
// of this package use it.
package measure
