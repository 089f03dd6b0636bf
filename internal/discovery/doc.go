// Package discovery follows endpoint lists and passes their changes to the endpoint registry and the balancer.
//
// # Sources
//
// A Source reads one list, such as that of a discovery service or a file, and reports it to a Sink:
//
//   - Watcher follows the list of the platform's discovery service over HTTP, with the calls that package staleness schedules;
//   - FileSource follows a list file;
//   - package eureka provides a Source for Eureka registries;
//   - MergedSource follows several sources and merges their lists with package membership.
//
// # Sinks
//
// SubsetSink forwards only the endpoints that package subset chooses for this process. RegistrySink is the last Sink of the chain.
//
//	Watcher, FileSource, eureka.Source -> [MergedSource] -> [SubsetSink] -> RegistrySink -> endpoints.Registry, then the balancer
//
// # Who may write the endpoint list
//
// Only RegistrySink writes to a service's endpoints.Registry, one list after another: Update applies lists while the service runs, and
// Apply applies the initial list. All other code only reads the registry.
//
// Package discovery handles connections, timers and goroutines, and stores the last received list. Packages staleness, membership and
// subset make the decisions. Package discovery may import these three, endpoints, filewatch and the balancer's types, but not the engine or
// a protocol adapter.
package discovery
