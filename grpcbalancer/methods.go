package grpcbalancer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"

	"orchiddrift/balancer"
)

// UnsafeClass is the name of the class that is added to settings without a non-idempotent class. Methods of unknown idempotency get it:
// their calls are retried only if it is proved that they did not run. Its deadline is the longest deadline of the other classes.
const UnsafeClass = "orchidgrpc.unsafe"

// maxCachedMethods bounds methods.cached; the classes of further methods are looked up for each call.
const maxCachedMethods = 4096

// methods maps full method names ("/package.Service/Method") to classes. It is safe for concurrent use.
type methods struct {
	classes            map[string]balancer.Class
	classByMethod      map[string]string // by full method name
	classByService     map[string]string // by service name, from "/package.Service/*"
	classByIdempotency map[balancer.Idempotency]string
	files              *protoregistry.Files

	mu     sync.RWMutex
	cached map[string]balancer.Class // by full method name, at most maxCachedMethods
}

// newMethods checks the mapping against the classes of settings, to which it adds UnsafeClass if none of them is non-idempotent. It does
// not modify the slice that settings.Classes shares with the caller's Options.
func newMethods(settings *balancer.Settings, mapping map[string]string, files *protoregistry.Files) (*methods, error) {
	m := &methods{
		classes:            map[string]balancer.Class{},
		classByMethod:      map[string]string{},
		classByService:     map[string]string{},
		classByIdempotency: map[balancer.Idempotency]string{},
		files:              cmp.Or(files, protoregistry.GlobalFiles),
		cached:             map[string]balancer.Class{},
	}
	m.addClasses(settings)
	for name, class := range mapping {
		if err := m.addMapping(name, class); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// addClasses adds the classes of settings, and UnsafeClass if none of them is non-idempotent. A method without a mapping gets the first
// class of its idempotency.
func (m *methods) addClasses(settings *balancer.Settings) {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
		if m.classByIdempotency[class.Idempotency] == "" {
			m.classByIdempotency[class.Idempotency] = class.Name
		}
	}
	if m.classByIdempotency[balancer.NonIdempotent] == "" && longest > 0 {
		settings.Classes = append(slices.Clone(settings.Classes),
			balancer.Class{Name: UnsafeClass, Deadline: longest, Idempotency: balancer.NonIdempotent})
		m.classByIdempotency[balancer.NonIdempotent] = UnsafeClass
	}
	for _, class := range settings.Classes {
		m.classes[class.Name] = class
	}
}

// addMapping maps "/package.Service/Method" or "/package.Service/*" to a class.
func (m *methods) addMapping(name, class string) error {
	if _, ok := m.classes[class]; !ok {
		return fmt.Errorf("methods: %s: unknown class %q", name, class)
	}
	service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if !strings.HasPrefix(name, "/") || !ok || service == "" || method == "" || strings.Contains(method, "/") {
		return fmt.Errorf("methods: %q is neither /package.Service/Method nor /package.Service/*", name)
	}
	if method == "*" {
		m.classByService[service] = class
	} else {
		m.classByMethod[name] = class
	}
	return nil
}

// class returns the class of a full method name. The mapping of the method takes precedence, then the mapping of its service, then the
// first class of the idempotency that the method's proto states. Without any of these, it is the first non-idempotent class.
func (m *methods) class(method string) balancer.Class {
	m.mu.RLock()
	class, ok := m.cached[method]
	m.mu.RUnlock()
	if ok {
		return class
	}
	service, name, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	class = m.classes[cmp.Or(
		m.classByMethod[method],
		m.classByService[service],
		m.classByIdempotency[m.idempotency(service, name)],
		m.classByIdempotency[balancer.NonIdempotent],
	)]
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.cached) < maxCachedMethods {
		m.cached[method] = class
	}
	return class
}

// idempotency returns the idempotency that a method's idempotency_level in its proto states, or NonIdempotent if the method or its level is
// unknown.
func (m *methods) idempotency(service, method string) balancer.Idempotency {
	descriptor, err := m.files.FindDescriptorByName(protoreflect.FullName(service))
	if err != nil {
		return balancer.NonIdempotent
	}
	serviceDescriptor, ok := descriptor.(protoreflect.ServiceDescriptor)
	if !ok {
		return balancer.NonIdempotent
	}
	methodDescriptor := serviceDescriptor.Methods().ByName(protoreflect.Name(method))
	if methodDescriptor == nil {
		return balancer.NonIdempotent
	}
	options, ok := methodDescriptor.Options().(*descriptorpb.MethodOptions)
	if !ok {
		return balancer.NonIdempotent
	}
	switch options.GetIdempotencyLevel() {
	case descriptorpb.MethodOptions_NO_SIDE_EFFECTS:
		return balancer.Idempotent
	case descriptorpb.MethodOptions_IDEMPOTENT:
		return balancer.IdempotentWithKey
	}
	return balancer.NonIdempotent
}
