package grpcbalancer

import (
	"cmp"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"

	"orchiddrift/balancer"
)

// UnsafeClass is the class that is added where the settings have none of effect Unsafe: methods of which nothing is
// known go by it, and are never sent twice. Its deadline is the longest of the others.
const UnsafeClass = "orchidgrpc.unsafe"

// methods maps full method names ("/package.Service/Method") to classes. It is safe for concurrent use, and holds one
// entry for each method name that was mapped, up to maxCachedMethods.
type methods struct {
	classes            map[string]balancer.Class
	classByMethod      map[string]string // by full method name
	classByService     map[string]string // by service name, for "/package.Service/*"
	classByIdempotency map[balancer.Idempotency]string
	files              *protoregistry.Files

	mu     sync.RWMutex
	cached map[string]balancer.Class
}

// maxCachedMethods bounds what is remembered; names beyond it are looked up each time.
const maxCachedMethods = 4096

// newMethods checks the mapping against the classes. It may add UnsafeClass to settings.
func newMethods(settings *balancer.Settings, mapping map[string]string, files *protoregistry.Files) (*methods, error) {
	m := &methods{classes: map[string]balancer.Class{}, classByMethod: map[string]string{}, classByService: map[string]string{},
		classByIdempotency: map[balancer.Idempotency]string{}, files: cmp.Or(files, protoregistry.GlobalFiles), cached: map[string]balancer.Class{}}
	var longest time.Duration
	for _, c := range settings.Classes {
		longest = max(longest, c.Deadline)
		if m.classByIdempotency[c.Idempotency] == "" {
			m.classByIdempotency[c.Idempotency] = c.Name
		}
	}
	if m.classByIdempotency[balancer.NonIdempotent] == "" && longest > 0 {
		settings.Classes = append(append([]balancer.Class(nil), settings.Classes...),
			balancer.Class{Name: UnsafeClass, Deadline: longest, Idempotency: balancer.NonIdempotent})
		m.classByIdempotency[balancer.NonIdempotent] = UnsafeClass
	}
	for _, c := range settings.Classes {
		m.classes[c.Name] = c
	}
	for name, class := range mapping {
		if _, ok := m.classes[class]; !ok {
			return nil, fmt.Errorf("methods: %s: unknown class %q", name, class)
		}
		service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
		if !strings.HasPrefix(name, "/") || !ok || service == "" || method == "" || strings.Contains(method, "/") {
			return nil, fmt.Errorf("methods: %q is neither /package.Service/Method nor /package.Service/*", name)
		}
		if method == "*" {
			m.classByService[service] = class
		} else {
			m.classByMethod[name] = class
		}
	}
	return m, nil
}

// class is a method's class: as the mapping says by method, then by service; else the first class of the effect that
// the proto's idempotency_level stands for; else, and where nothing is known, the first unsafe one.
func (m *methods) class(method string) balancer.Class {
	m.mu.RLock()
	c, ok := m.cached[method]
	m.mu.RUnlock()
	if ok {
		return c
	}
	service, name, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	c = m.classes[cmp.Or(m.classByMethod[method], m.classByService[service], m.classByIdempotency[m.idempotency(service, name)],
		m.classByIdempotency[balancer.NonIdempotent])]
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.cached) < maxCachedMethods {
		m.cached[method] = c
	}
	return c
}

// idempotency is the effect that the proto's idempotency_level stands for; Unsafe where nothing is known.
func (m *methods) idempotency(service, method string) balancer.Idempotency {
	d, err := m.files.FindDescriptorByName(protoreflect.FullName(service))
	if err != nil {
		return balancer.NonIdempotent
	}
	s, ok := d.(protoreflect.ServiceDescriptor)
	if !ok {
		return balancer.NonIdempotent
	}
	md := s.Methods().ByName(protoreflect.Name(method))
	if md == nil {
		return balancer.NonIdempotent
	}
	options, ok := md.Options().(*descriptorpb.MethodOptions)
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
