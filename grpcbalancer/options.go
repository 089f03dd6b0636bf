package grpcbalancer

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/reflect/protoregistry"

	"orchiddrift/balancer"
)

// Options are a Plugin's parameters. At least one of Discovery, Endpoints and a File with registries must be set.
type Options struct {
	Service   string            // name of the service in targets and in the calls' authority; if empty, "service"
	Settings  balancer.Settings // the daemon's settings, which LoadOptions reads from the same file format
	Seed      uint64            // seed of all random numbers; use a new one for each start
	Discovery string            // address of the platform's discovery service; if empty, Endpoints is the list
	Endpoints []Endpoint        // the endpoint list as last known
	Version   int64             // version that Discovery gave to the list in Endpoints

	// Methods maps "/package.Service/Method" and "/package.Service/*" to classes of Settings. A method that is not mapped is classified by
	// the idempotency_level of its proto: NO_SIDE_EFFECTS selects the first idempotent class, IDEMPOTENT the first class that is idempotent
	// with an idempotency key. All other methods are non-idempotent: they are retried only if it is proved that they did not run.
	Methods map[string]string
	// Answers are the status codes that count as the application's answer and not as a failure of the upstream. If it is nil, they are the
	// codes that concern the request (INVALID_ARGUMENT, NOT_FOUND, ...; not UNAVAILABLE, INTERNAL, UNKNOWN and the like).
	Answers []codes.Code
	Files   *protoregistry.Files // where idempotency levels are looked up; if nil, protoregistry.GlobalFiles
	Log     func(string)         // receives each log line; if nil, log lines are dropped
	// File is the path of an operator's file in the daemon's format. The Plugin uses these sections of its service:
	//   - [[eureka]]: registries that list upstreams, alone or merged with Discovery or Endpoints as [membership] configures
	//   - [[door]]: admission control that is fair between tenants or clients, which are identified by metadata
	//   - [service.subset]: the process uses a subset of the upstreams
	//   - [service.warm]: connections are opened before calls need them, once a ClientConn has been used
	//   - [[repeats]]: a repeat of a unary call with the caller's idempotency key gets the answer of the first call
	File string
	// TLS configures encrypted connections, and DialOptions then include the credentials. If TLS is nil, the caller adds credentials.
	TLS *TLS
}

// Endpoint is an upstream in the endpoint list.
type Endpoint struct {
	Name    string    // unique in the list, and the same in every client process
	Address string    // IP address and port
	Zone    string    // empty if it is not known; calls that may have run are then not sent again in a class with ScopeZone
	Type    string    // machine type
	Group   int       // number of the upstream's cell, from 1; 0 if it is not known
	Since   time.Time // time of the upstream's last start; the zero time means that it was long ago
	// Identity is the DNS name or URI that the upstream's certificate must have. If it is empty, TLS.Name applies.
	Identity string
}

// Metadata keys of a call, which are sent with each attempt. Values that the caller sets stay as they are.
const (
	RequestIDKey   = "x-request-id"    // id of the call, the same for all its attempts; generated if the caller sets none
	IdempotencyKey = "idempotency-key" // key of a call whose class is idempotent with a key; generated if the caller sets none
	TenantKey      = "x-tenant-id"     // tenant of the call; never generated
	CostKey        = "x-cost"          // expected work in microseconds; never generated
)

// notProcessedKey is the trailer by which an upstream states that it did not run the request; its value is then "1".
const notProcessedKey = "x-not-processed"

const (
	defaultService        = "service"
	defaultConnectTimeout = time.Second
	defaultTick           = time.Millisecond
	maxCostHint           = time.Hour // larger values of CostKey are ignored

	// Backoff of a SubConn's connection attempts, in the terms of grpc-go's backoff.Config.
	reconnectBaseDelay  = 100 * time.Millisecond
	reconnectMaxDelay   = 2 * time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2

	maxSubConns = 4096 // number of SubConns of a ClientConn of which prewarming may open a configured share
)

// Labels that are combined with Options.Seed to get independent random numbers. They must not change, since a seed would then lead to other
// decisions.
const (
	admissionSeedLabel = "door"
	prewarmSeedLabel   = "warm"
)
