package fakes

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// EurekaOptions are an Eureka's parameters.
type EurekaOptions struct {
	CacheFor  time.Duration    // answers are made anew only so often, as real servers do every 30 s; 0: always
	KeepDelta time.Duration    // how long a change stands in /apps/delta; 0: three minutes
	Preserves bool             // self-preservation: where more than 15% of the leases run out at once, none does
	Texts     bool             // numbers in the JSON are texts
	User      string           // where set, basic authentication with
	Password  string           // this
	Now       func() time.Time // nil: time.Now
}

// Eureka is a registry: the server side of Eureka's REST operations, with leases, overrides, a queue of changes, an answer
// cache and scripted faults. Its documents and its sum are made from the published formats alone. Replicas are Eurekas
// that Replicate to each other; without that they disagree.
type Eureka struct {
	Base string // http://address/eureka

	o    EurekaOptions
	srv  *http.Server
	done chan struct{}

	bytes   atomic.Int64 // of answers' bodies
	mu      sync.Mutex
	apps    map[string]map[string]*EurekaInstance
	queue   []eurekaChange
	version int
	cache   map[string]eurekaAnswer
	peers   []*Eureka
	fault   func(path string) EurekaFault
	calls   map[string]int
	told    map[int]time.Time // by version: when the first answer that has it began to be written
	last    int               // version told last
}

// EurekaInstance is one registration.
type EurekaInstance struct {
	App, ID, Host, IP, VIP string
	Status, Overridden     string
	Port, SecurePort       int
	PortOff, SecureOn      bool
	Metadata               map[string]string
	Up                     time.Time // serviceUpTimestamp
	Lease                  time.Duration

	registered, renewed time.Time
	action              string
}

type eurekaChange struct {
	at time.Time
	i  EurekaInstance
}

type eurekaAnswer struct {
	at      time.Time
	body    []byte
	version int
}

// EurekaFault is what goes wrong with one answer.
type EurekaFault int

// The faults.
const (
	EurekaFine      EurekaFault = iota
	EurekaDown                  // 503
	EurekaCut                   // half of the answer, and a close
	EurekaHTML                  // a proxy's page with 200
	EurekaHangs                 // nothing, until the client leaves
	EurekaWrongSum              // apps__hashcode of another registry
	EurekaHuge                  // 20 MB of blanks within the document
	EurekaNoDelta               // 403 for /apps/delta
	EurekaLostDelta             // the delta is empty, its sum is right: changes were lost
)

// NewEureka starts a registry at a free loopback port.
func NewEureka(o EurekaOptions) (*Eureka, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.KeepDelta == 0 {
		o.KeepDelta = 3 * time.Minute
	}
	e := &Eureka{Base: "http://" + l.Addr().String() + "/eureka", o: o, done: make(chan struct{}), calls: map[string]int{}}
	e.Restart()
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(e.done)
		_ = e.srv.Serve(l) // ends with Close
	}()
	return e, nil
}

// Close ends it.
func (e *Eureka) Close() {
	_ = e.srv.Close()
	<-e.done
}

// Restart forgets everything, as a server does that starts anew.
func (e *Eureka) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apps, e.queue, e.version, e.cache = map[string]map[string]*EurekaInstance{}, nil, 0, map[string]eurekaAnswer{}
	e.told, e.last = map[int]time.Time{}, 0
}

// Replicate has what is written here written to peers too.
func (e *Eureka) Replicate(peers ...*Eureka) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Fault sets what goes wrong with answers to GET from now on; nil: nothing.
func (e *Eureka) Fault(script func(path string) EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = script
}

// Calls is how often a method and path below the base were asked for.
func (e *Eureka) Calls(what string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[what]
}

// Put registers an instance, or registers it anew.
func (e *Eureka) Put(i EurekaInstance) {
	for _, p := range e.register(i) {
		p.register(i)
	}
}

func (e *Eureka) register(i EurekaInstance) []*Eureka {
	e.mu.Lock()
	defer e.mu.Unlock()
	i.App = strings.ToUpper(i.App)
	now := e.o.Now()
	i.action, i.registered, i.renewed = "ADDED", now, now
	if i.Lease == 0 {
		i.Lease = 90 * time.Second
	}
	if i.Overridden == "" {
		i.Overridden = "UNKNOWN"
	}
	if old := e.apps[i.App][i.ID]; old != nil && old.Overridden != "UNKNOWN" { // an override outlives a registration
		i.Overridden, i.Status = old.Overridden, old.Overridden
	}
	if e.apps[i.App] == nil {
		e.apps[i.App] = map[string]*EurekaInstance{}
	}
	e.apps[i.App][i.ID] = &i
	e.changed(&i)
	return e.peers
}

// SetStatus is what an instance says of itself.
func (e *Eureka) SetStatus(app, id, status string) bool {
	return e.change(app, id, func(i *EurekaInstance) { i.Status, i.action = status, "MODIFIED" })
}

// Override is an operator's word, until it is taken back with "".
func (e *Eureka) Override(app, id, status string) bool {
	return e.change(app, id, func(i *EurekaInstance) {
		if i.action = "MODIFIED"; status == "" {
			i.Overridden, i.Status = "UNKNOWN", "UP"
			return
		}
		i.Overridden, i.Status = status, status
	})
}

// Cancel ends a registration.
func (e *Eureka) Cancel(app, id string) bool {
	return e.change(app, id, func(i *EurekaInstance) { i.action = "DELETED" })
}

func (e *Eureka) change(app, id string, how func(*EurekaInstance)) bool {
	there := false
	e.mu.Lock()
	if old := e.apps[strings.ToUpper(app)][id]; old != nil {
		there = true
		i := *old
		how(&i)
		e.store(&i)
	}
	peers := e.peers
	e.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if old := p.apps[strings.ToUpper(app)][id]; old != nil {
			i := *old
			how(&i)
			p.store(&i)
		}
		p.mu.Unlock()
	}
	return there
}

func (e *Eureka) store(i *EurekaInstance) {
	if e.apps[i.App][i.ID] = i; i.action == "DELETED" {
		if delete(e.apps[i.App], i.ID); len(e.apps[i.App]) == 0 {
			delete(e.apps, i.App)
		}
	}
	e.changed(i)
}

func (e *Eureka) changed(i *EurekaInstance) {
	e.version++
	e.queue = append(e.queue, eurekaChange{e.o.Now(), *i})
	if e.o.CacheFor == 0 {
		clear(e.cache)
	}
}

// renew tells whether the instance is known.
func (e *Eureka) renew(app, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.apps[strings.ToUpper(app)][id]
	if i != nil {
		i.renewed = e.o.Now()
	}
	return i != nil
}

// expire ends the leases that have run out.
func (e *Eureka) expire(now time.Time) {
	for len(e.queue) > 0 && now.Sub(e.queue[0].at) > e.o.KeepDelta {
		e.queue = e.queue[1:]
	}
	var out []*EurekaInstance
	all := 0
	for _, app := range e.apps {
		for _, i := range app {
			if all++; now.Sub(i.renewed) > i.Lease {
				out = append(out, i)
			}
		}
	}
	if e.o.Preserves && len(out)*100 > 15*all {
		return
	}
	for _, old := range out {
		i := *old
		i.action = "DELETED"
		e.store(&i)
	}
}

func (e *Eureka) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/eureka")
	if path = strings.TrimSuffix(strings.TrimPrefix(path, "/v2"), "/"); !ok {
		http.NotFound(w, r)
		return
	}
	if user, password, _ := r.BasicAuth(); e.o.User != "" && (user != e.o.User || password != e.o.Password) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	e.mu.Lock()
	e.calls[r.Method+" "+path]++
	e.mu.Unlock()
	part := strings.Split(strings.TrimPrefix(path, "/"), "/")
	known := func(there bool) {
		if !there {
			w.WriteHeader(http.StatusNotFound)
		}
	}
	switch {
	case r.Method == http.MethodGet:
		e.get(w, r, path, part)
	case r.Method == http.MethodPost && len(part) == 2:
		i, err := readEurekaInstance(r.Body)
		if err != nil || !strings.EqualFold(i.App, part[1]) {
			http.Error(w, fmt.Sprint("no instance of that application: ", err), http.StatusBadRequest)
			return
		}
		e.Put(i)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && len(part) == 3:
		known(e.renew(part[1], part[2]))
	case r.Method == http.MethodPut && len(part) == 4 && part[3] == "status":
		known(e.Override(part[1], part[2], r.URL.Query().Get("value")))
	case r.Method == http.MethodDelete && len(part) == 4 && part[3] == "status":
		known(e.Override(part[1], part[2], ""))
	case r.Method == http.MethodDelete && len(part) == 3:
		known(e.Cancel(part[1], part[2]))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// readEurekaInstance reads what an instance registers with.
func readEurekaInstance(from io.Reader) (EurekaInstance, error) {
	var in struct {
		Instance struct {
			InstanceID, HostName, App, IPAddr, VIPAddress, Status string
			Port                                                  struct {
				Number int `json:"$"`
			}
			Metadata  map[string]string
			LeaseInfo struct{ DurationInSecs int }
		}
	}
	if err := json.NewDecoder(io.LimitReader(from, 1<<20)).Decode(&in); err != nil {
		return EurekaInstance{}, err
	}
	i := in.Instance
	return EurekaInstance{App: i.App, ID: i.InstanceID, Host: i.HostName, IP: i.IPAddr, VIP: i.VIPAddress, Status: i.Status,
		Port: i.Port.Number, Metadata: i.Metadata, Lease: time.Duration(i.LeaseInfo.DurationInSecs) * time.Second}, nil
}

func (e *Eureka) get(w http.ResponseWriter, r *http.Request, path string, part []string) {
	e.mu.Lock()
	fault := EurekaFine
	if e.fault != nil {
		fault = e.fault(path)
	}
	now := e.o.Now()
	asXML := !strings.Contains(r.Header.Get("Accept"), "json")
	key := fmt.Sprint(path, asXML, fault == EurekaWrongSum, fault == EurekaLostDelta)
	a, cached := e.cache[key]
	if !cached || now.Sub(a.at) >= e.o.CacheFor {
		e.expire(now)
		body, ok := e.document(part, asXML, fault)
		if !ok {
			e.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		a = eurekaAnswer{now, body, e.version}
		e.cache[key] = a
	}
	e.mu.Unlock()
	body := a.body
	switch {
	case fault == EurekaDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == EurekaNoDelta && path == "/apps/delta":
		w.WriteHeader(http.StatusForbidden)
		return
	case fault == EurekaHangs:
		<-r.Context().Done()
		return
	case fault == EurekaHTML:
		w.Header().Set("Content-Type", "text/html")
		_, _ = io.WriteString(w, "<html><body>Bad gateway</body></html>")
		return
	case fault == EurekaHuge:
		body = slices.Concat(body[:1], bytes.Repeat([]byte(" "), 20<<20), body[1:])
	}
	w.Header().Set("Content-Type", "application/json")
	if asXML {
		w.Header().Set("Content-Type", "application/xml")
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, _ = z.Write(body) // into memory
		_ = z.Close()
		w.Header().Set("Content-Encoding", "gzip")
		body = packed.Bytes()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.bytes.Add(int64(len(body)))
	if fault == EurekaFine {
		e.tell(a.version)
	}
	if fault == EurekaCut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Bytes is what the bodies of all answers came to.
func (e *Eureka) Bytes() int64 { return e.bytes.Load() }

// Version counts the changes so far.
func (e *Eureka) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Told is when a client was first told of a version, or a later one: right before the answer's first byte; zero: not yet.
func (e *Eureka) Told(version int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.told[version]
}

func (e *Eureka) tell(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for ; e.last < version; e.last++ {
		e.told[e.last+1] = now
	}
}

// document makes the answer to a path.
func (e *Eureka) document(part []string, asXML bool, fault EurekaFault) ([]byte, bool) {
	var of []EurekaInstance
	add := func(want func(*EurekaInstance) bool) {
		for _, name := range slices.Sorted(maps.Keys(e.apps)) {
			for _, id := range slices.Sorted(maps.Keys(e.apps[name])) {
				if i := e.apps[name][id]; want(i) {
					of = append(of, *i)
				}
			}
		}
	}
	root := "applications"
	switch {
	case len(part) == 1 && part[0] == "apps":
		add(func(*EurekaInstance) bool { return true })
	case len(part) == 2 && part[0] == "apps" && part[1] == "delta":
		for _, c := range e.queue {
			if fault != EurekaLostDelta {
				of = append(of, c.i)
			}
		}
	case len(part) == 2 && part[0] == "apps":
		root = "application"
		add(func(i *EurekaInstance) bool { return i.App == strings.ToUpper(part[1]) })
		if len(of) == 0 {
			return nil, false
		}
	case len(part) == 2 && part[0] == "vips":
		add(func(i *EurekaInstance) bool { return i.VIP == part[1] })
		if len(of) == 0 {
			return nil, false
		}
	default:
		return nil, false
	}
	counts := map[string]int{}
	for _, app := range e.apps {
		for _, i := range app {
			counts[i.Status]++
		}
	}
	sum := ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		sum += fmt.Sprintf("%s_%d_", status, counts[status])
	}
	if fault == EurekaWrongSum {
		sum = "UP_1000000_"
	}
	type app struct {
		name string
		of   []EurekaInstance
	}
	var apps []app
	for _, i := range of { // in the order that they came in
		if n := len(apps); n == 0 || apps[n-1].name != i.App {
			apps = append(apps, app{name: i.App})
		}
		apps[len(apps)-1].of = append(apps[len(apps)-1].of, i)
	}
	var b bytes.Buffer
	if asXML {
		if root == "applications" {
			fmt.Fprintf(&b, "<applications>\n  <versions__delta>%d</versions__delta>\n  <apps__hashcode>%s</apps__hashcode>\n", e.version, sum)
		}
		for _, a := range apps {
			fmt.Fprintf(&b, "<application><name>%s</name>\n", escaped(a.name))
			for _, i := range a.of {
				i.writeXML(&b)
			}
			b.WriteString("</application>\n")
		}
		if root == "applications" {
			b.WriteString("</applications>\n")
		}
		return b.Bytes(), true
	}
	lone := func(list []any) any { // as XStream writes lists
		switch len(list) {
		case 0:
			return nil
		case 1:
			return list[0]
		}
		return list
	}
	var all []any
	for _, a := range apps {
		var instances []any
		for _, i := range a.of {
			instances = append(instances, i.document(e.o.Texts))
		}
		all = append(all, map[string]any{"name": a.name, "instance": lone(instances)})
	}
	var doc any = map[string]any{"applications": map[string]any{"versions__delta": strconv.Itoa(e.version), "apps__hashcode": sum, "application": lone(all)}}
	if root == "application" {
		doc = map[string]any{"application": all[0]}
	}
	text, err := json.Marshal(doc)
	return text, err == nil
}

func (i *EurekaInstance) document(texts bool) map[string]any {
	n := func(v int64) any {
		if texts {
			return strconv.FormatInt(v, 10)
		}
		return v
	}
	onOff := func(on bool) string { return strconv.FormatBool(on) }
	metadata := map[string]any{"@class": "java.util.Collections$EmptyMap"}
	for k, v := range i.Metadata {
		metadata[k] = v
	}
	return map[string]any{
		"instanceId": i.ID, "hostName": i.Host, "app": i.App, "ipAddr": i.IP, "status": i.Status,
		"overriddenStatus": i.Overridden, "vipAddress": i.VIP, "actionType": i.action, "countryId": 1,
		"port":           map[string]any{"$": n(int64(i.Port)), "@enabled": onOff(!i.PortOff)},
		"securePort":     map[string]any{"$": n(int64(i.SecurePort)), "@enabled": onOff(i.SecureOn)},
		"dataCenterInfo": map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo": map[string]any{"renewalIntervalInSecs": 30, "durationInSecs": n(int64(i.Lease.Seconds())),
			"registrationTimestamp": n(i.registered.UnixMilli()), "lastRenewalTimestamp": n(i.renewed.UnixMilli()),
			"evictionTimestamp": 0, "serviceUpTimestamp": n(max(0, i.Up.UnixMilli()))},
		"metadata": metadata, "homePageUrl": "http://" + i.Host + "/", "isCoordinatingDiscoveryServer": "false",
		"lastUpdatedTimestamp": strconv.FormatInt(i.renewed.UnixMilli(), 10),
	}
}

func (i *EurekaInstance) writeXML(b *bytes.Buffer) {
	fmt.Fprintf(b, "<instance><instanceId>%s</instanceId><hostName>%s</hostName><app>%s</app><ipAddr>%s</ipAddr><status>%s</status>"+
		"<overriddenstatus>%s</overriddenstatus><port enabled=\"%t\">%d</port><securePort enabled=\"%t\">%d</securePort><countryId>1</countryId>"+
		"<dataCenterInfo class=\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\"><name>MyOwn</name></dataCenterInfo>"+
		"<leaseInfo><registrationTimestamp>%d</registrationTimestamp><serviceUpTimestamp>%d</serviceUpTimestamp></leaseInfo><metadata>",
		escaped(i.ID), escaped(i.Host), escaped(i.App), escaped(i.IP), i.Status, i.Overridden, !i.PortOff, i.Port, i.SecureOn, i.SecurePort,
		i.registered.UnixMilli(), max(0, i.Up.UnixMilli()))
	for _, k := range slices.Sorted(maps.Keys(i.Metadata)) {
		fmt.Fprintf(b, "<%s>%s</%s>", k, escaped(i.Metadata[k]), k)
	}
	fmt.Fprintf(b, "</metadata><vipAddress>%s</vipAddress><actionType>%s</actionType></instance>\n", escaped(i.VIP), i.action)
}

func escaped(text string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(text)) // into memory
	return b.String()
}
