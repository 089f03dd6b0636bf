package fakes

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// document returns the answer to a GET request for a path. It returns false if the path does not exist. The caller
// holds mu.
func (e *Eureka) document(part []string, asXML bool, fault EurekaFault) ([]byte, bool) {
	var instances []EurekaInstance
	add := func(want func(*EurekaInstance) bool) {
		for _, name := range slices.Sorted(maps.Keys(e.apps)) {
			for _, id := range slices.Sorted(maps.Keys(e.apps[name])) {
				if i := e.apps[name][id]; want(i) {
					instances = append(instances, *i)
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
				instances = append(instances, c.i)
			}
		}
	case len(part) == 2 && part[0] == "apps":
		root = "application"
		add(func(i *EurekaInstance) bool { return i.App == strings.ToUpper(part[1]) })
		if len(instances) == 0 {
			return nil, false
		}
	case len(part) == 2 && part[0] == "vips":
		add(func(i *EurekaInstance) bool { return i.VIP == part[1] })
		if len(instances) == 0 {
			return nil, false
		}
	default:
		return nil, false
	}
	hash := e.hashCode()
	if fault == EurekaWrongSum {
		hash = "UP_1000000_"
	}
	apps := groupByApplication(instances)
	if asXML {
		return e.xmlDocument(root, apps, hash), true
	}
	return e.jsonDocument(root, apps, hash)
}

// eurekaApplication is an application with its instances, as documents list them.
type eurekaApplication struct {
	name      string
	instances []EurekaInstance
}

// hashCode returns the value of apps__hashcode, which consists of the number of instances with each status. The
// caller holds mu.
func (e *Eureka) hashCode() string {
	counts := map[string]int{}
	for _, app := range e.apps {
		for _, i := range app {
			counts[i.Status]++
		}
	}
	hash := ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		hash += fmt.Sprintf("%s_%d_", status, counts[status])
	}
	return hash
}

// groupByApplication groups consecutive instances of the same application and keeps their order.
func groupByApplication(instances []EurekaInstance) []eurekaApplication {
	var apps []eurekaApplication
	for _, i := range instances {
		if n := len(apps); n == 0 || apps[n-1].name != i.App {
			apps = append(apps, eurekaApplication{name: i.App})
		}
		apps[len(apps)-1].instances = append(apps[len(apps)-1].instances, i)
	}
	return apps
}

// xmlDocument returns the document in XML. The caller holds mu.
func (e *Eureka) xmlDocument(root string, apps []eurekaApplication, hash string) []byte {
	var b bytes.Buffer
	if root == "applications" {
		fmt.Fprintf(&b, "<applications>\n  <versions__delta>%d</versions__delta>\n  <apps__hashcode>%s</apps__hashcode>\n", e.version, hash)
	}
	for _, a := range apps {
		fmt.Fprintf(&b, "<application><name>%s</name>\n", escaped(a.name))
		for _, i := range a.instances {
			i.writeXML(&b)
		}
		b.WriteString("</application>\n")
	}
	if root == "applications" {
		b.WriteString("</applications>\n")
	}
	return b.Bytes()
}

// jsonDocument returns the document in JSON, with lists as XStream writes them. The caller holds mu.
func (e *Eureka) jsonDocument(root string, apps []eurekaApplication, hash string) ([]byte, bool) {
	var all []any
	for _, a := range apps {
		var instances []any
		for _, i := range a.instances {
			instances = append(instances, i.document(e.options.NumbersAsText))
		}
		all = append(all, map[string]any{"name": a.name, "instance": xstreamList(instances)})
	}
	var doc any = map[string]any{"applications": map[string]any{"versions__delta": strconv.Itoa(e.version), "apps__hashcode": hash, "application": xstreamList(all)}}
	if root == "application" {
		doc = map[string]any{"application": all[0]}
	}
	text, err := json.Marshal(doc)
	return text, err == nil
}

// xstreamList returns a list in the form in which XStream writes it to JSON: null for an empty list, and the element
// itself for a list of one.
func xstreamList(list []any) any {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	return list
}

func (i *EurekaInstance) document(numbersAsText bool) map[string]any {
	number := func(v int64) any {
		if numbersAsText {
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
		"port":           map[string]any{"$": number(int64(i.Port)), "@enabled": onOff(!i.PortOff)},
		"securePort":     map[string]any{"$": number(int64(i.SecurePort)), "@enabled": onOff(i.SecureOn)},
		"dataCenterInfo": map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo": map[string]any{"renewalIntervalInSecs": 30, "durationInSecs": number(int64(i.Lease.Seconds())),
			"registrationTimestamp": number(i.registered.UnixMilli()), "lastRenewalTimestamp": number(i.renewed.UnixMilli()),
			"evictionTimestamp": 0, "serviceUpTimestamp": number(max(0, i.Up.UnixMilli()))},
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
	_ = xml.EscapeText(&b, []byte(text)) // writes to memory do not fail
	return b.String()
}

// readEurekaInstance decodes the JSON body of a registration. It reads at most 1 MiB.
func readEurekaInstance(body io.Reader) (EurekaInstance, error) {
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
	if err := json.NewDecoder(io.LimitReader(body, 1<<20)).Decode(&in); err != nil {
		return EurekaInstance{}, err
	}
	i := in.Instance
	return EurekaInstance{App: i.App, ID: i.InstanceID, Host: i.HostName, IP: i.IPAddr, VIP: i.VIPAddress, Status: i.Status,
		Port: i.Port.Number, Metadata: i.Metadata, Lease: time.Duration(i.LeaseInfo.DurationInSecs) * time.Second}, nil
}
