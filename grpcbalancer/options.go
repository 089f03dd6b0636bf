package grpcbalancer

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/reflect/protoregistry"

	"orchiddrift/balancer"
)

// Options are a Plugin's parameters. At least one of Discovery, Endpoints and a File with registries is needed.
type Options struct {
	Service   string            // names the service in targets and as the calls' authority; absent: "service"
	Settings  balancer.Settings // as the daemon's; LoadOptions reads both from one form of file
	Seed      uint64            // of all random numbers; a new one for each start
	Discovery string            // address of the platform's discovery; absent: the list is Endpoints
	Endpoints []Endpoint        // the list as last known
	Version   int64             // of that list at Discovery

	// Methods maps "/package.Service/Method" and "/package.Service/*" to classes of Settings. A method that is not mapped is classified
	// by the idempotency_level of its proto: NO_SIDE_EFFECTS is the first idempotent class, IDEMPOTENT the first one that is idempotent
	// with an idempotency key. All others are non-idempotent: they are sent again only if it is proved that they did not run.
	Methods map[string]string
	// Answers are the status codes that count as the application's answer and not as a failure of the upstream; absent: those that
	// concern the request (INVALID_ARGUMENT, NOT_FOUND, ...; not UNAVAILABLE, INTERNAL, UNKNOWN and the like).
	Answers []codes.Code
	Files   *protoregistry.Files // where idempotency levels are looked up; absent: protoregistry.GlobalFiles
	Log     func(string)         // receives each log line; absent: log lines are dropped
	// File names an operator's file in the daemon's form. The sections of this service that count are:
	//   - [[eureka]]: registries that list upstreams beside Discovery or Endpoints, or alone, merged as [membership] says
	//   - [[door]]: admission in an order that is fair between tenants or clients, told apart by metadata
	//   - [service.subset]: the process uses a subset of the upstreams
	//   - [service.warm]: connections are opened before calls need them, once a ClientConn has been used
	//   - [[repeats]]: a unary call with an idempotency key of its caller's that is repeated gets the first one's answer
	File string
	// TLS encrypts connections; absent: the caller adds credentials. If it is present, DialOptions include the credentials.
	TLS *TLS
}

// Endpoint is an upstream.
type Endpoint struct {
	Name    string // the same in every process
	Address string // IP address and port
	Zone    string
	Type    string    // the kind of machine
	Group   int       // the cell
	Since   time.Time // when it last started; zero: long ago
	// Identity is the name that its certificate has to bear, a DNS name or a URI; absent: TLS.Name.
	Identity string
}

// Metadata keys that are sent with each attempt. Values that the caller sets are kept.
const (
	RequestIDKey   = "x-request-id"    // of the call, the same for all its attempts; generated where the caller sets none
	IdempotencyKey = "idempotency-key" // of a call that is idempotent with a key; generated where the caller sets none
	TenantKey      = "x-tenant-id"     // read only
	CostKey        = "x-cost"          // read only: expected work in microseconds
)

// notProcessedKey is the trailer by which an upstream states that the request never ran: its value is "1" then.
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

	maxSubConns = 4096 // of one ClientConn; prewarming uses its configured part of them
)

// Labels that Options.Seed is combined with for independent random numbers. They are part of what a seed means and must not change.
const (
	admissionSeedLabel = "door"
	prewarmSeedLabel   = "warm"
)
