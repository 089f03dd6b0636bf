// Package discovery follows endpoint lists and carries their changes to the endpoint registry and the balancer.
//
// # Sources
//
// A Source reads one list, wherever that is kept, and reports it to a Sink:
//
//   - Watcher follows the platform's discovery over HTTP, with the calls that package staleness schedules;
//   - FileSource follows a list file;
//   - package eureka has a Source for Eureka registries;
//   - MergedSource follows several of these and merges them with package membership.
//
// # Sinks
//
// SubsetSink passes on the endpoints that package subset chooses for this process. RegistrySink is the end of the chain.
//
//	Watcher, FileSource, eureka.Source -> [MergedSource] -> [SubsetSink] -> RegistrySink -> endpoints.Registry, then the balancer
//
// # Who may write the endpoint list
//
// Only RegistrySink writes to a service's endpoints.Registry, one list after another: by Update while the service runs, and by Apply
// for the list that it starts with. Everyone else reads the registry.
//
// The package decides nothing itself: it owns connections, timers and goroutines, and the state of a list as it was last received. It
// may import the packages of decisions named above, endpoints, filewatch and the balancer's types, but not the engine or a protocol
// adapter.
package discovery
