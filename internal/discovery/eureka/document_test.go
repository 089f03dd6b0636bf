package eureka

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// TestDecodeDeviations checks documents that deviate from the usual form in ways that registries are known for. The wanted result of each
// document is its endpoint, "none" if it has no usable endpoint, or "" if it must be rejected.
func TestDecodeDeviations(t *testing.T) {
	jsonInstance := func(port, more string) string {
		return `{"applications":{"application":[{"name":"A","instance":[{"instanceId":"i","ipAddr":"127.0.0.2","status":"UP","port":` + port + more + `}]}]}}`
	}
	xmlInstance := func(more string) string {
		return `<?xml version="1.0"?><application><name>A</name><instance><hostName>127.0.0.2</hostName><status>UP</status>` + more + `</instance></application>`
	}
	for text, want := range map[string]string{
		jsonInstance(`80`, ``):                                                      "i@127.0.0.2:80 Ready",
		jsonInstance(`"80"`, ``):                                                    "i@127.0.0.2:80 Ready",
		jsonInstance(`{"$":80,"@enabled":"true"}`, ``):                              "i@127.0.0.2:80 Ready",
		jsonInstance(`{"$":"80","@enabled":true}`, `,"metadata":null`):              "i@127.0.0.2:80 Ready",
		jsonInstance(`{"$":80,"@enabled":"false"}`, ``):                             "none",
		jsonInstance(`null`, ``):                                                    "none",
		jsonInstance(`0`, ``):                                                       "none",
		jsonInstance(`99999999999999999999`, ``):                                    "none",
		jsonInstance(`80`, `,"overriddenstatus":"OUT_OF_SERVICE"`):                  "i@127.0.0.2:80 OutOfService",
		jsonInstance(`80`, `,"overriddenStatus":"UNKNOWN","metadata":""`):           "i@127.0.0.2:80 Ready",
		jsonInstance(`80`, `,"status":"DOWN","overriddenStatus":"UP"`):              "i@127.0.0.2:80 Down",
		jsonInstance(`80`, `,"ipAddr":"nowhere","hostName":"::1"`):                  "i@[::1]:80 Ready",
		jsonInstance(`80`, `,"ipAddr":"node.example","hostName":"node.example"`):    "none",
		jsonInstance(`80`, `,"leaseInfo":[],"dataCenterInfo":"x","metadata":[1,2]`): "i@127.0.0.2:80 Ready",
		`{"applications":{"versions__delta":"1","application":{"instance":{"hostName":"127.0.0.3","port":{"$":81},"status":"UP"},"name":"A"}}}`: "127.0.0.3@127.0.0.3:81 Ready",
		`{"applications":{"application":null}}`:            "none",
		`{"applications":{"application":{"name":"A"}}}`:    "none",
		`{"applications":null}`:                            "none",
		`{"error":"no"}`:                                   "",
		`{"applications":{}}{}`:                            "",
		`{"applications":{"application":[{"instance":[{}]`: "",
		`{"applications":{"application":{"instance":{}}}}`: "", // instance with neither id nor host
		``: "",
		xmlInstance(`<port enabled="true"> 80 </port>`):                                                                 "127.0.0.2@127.0.0.2:80 Ready",
		xmlInstance(`<port>80</port><overriddenstatus>DOWN</overriddenstatus>`):                                         "127.0.0.2@127.0.0.2:80 Down",
		xmlInstance(`<port enabled="false">80</port>`):                                                                  "none",
		xmlInstance(`<port>80</port><metadata class="x"><zone><deep>1</deep></zone></metadata><unknown><a/></unknown>`): "127.0.0.2@127.0.0.2:80 Ready",
		`<applications/>`: "none",
		`<applications><application></applications>`: "",
		`<applications></applications><more/>`:       "",
		`<html><body/></html>`:                       "",
	} {
		mediaType := "application/json"
		if strings.HasPrefix(text, "<") {
			mediaType = "text/xml"
		}
		cache := newInstanceCache(Mapping{ZoneKey: "zone"}, []string{"a"})
		got := ""
		if err := (&document{visit: cache.put}).decode(mediaType, strings.NewReader(text)); err == nil {
			got = "none"
			for _, e := range cache.changes(true, false).Endpoints {
				got = e.Name + "@" + e.Address + " " + e.Status
			}
		}
		if got != want {
			t.Errorf("document %s decodes to %q, want %q", text, got, want)
		}
	}
}

// FuzzDecode checks that no document makes a decoder panic or results in an unusable endpoint, and that a truncated JSON document is
// rejected.
func FuzzDecode(f *testing.F) {
	for _, asXML := range []bool{true, false} {
		for _, text := range []string{
			`{"applications":{"versions__delta":1,"apps__hashcode":"UP_1_","application":{"name":"A","instance":{"instanceId":"a","ipAddr":"127.0.0.2","status":"UP","port":{"$":"80","@enabled":"true"},"metadata":null}}}}`,
			`{"applications":{"application":[{"instance":[{"hostName":"127.0.0.2","port":80,"leaseInfo":{"serviceUpTimestamp":1.7e12}}],"name":"A"}]}}`,
			`<applications><apps__hashcode/><application><name>A</name><instance><instanceId>a</instanceId><port enabled="true">80</port><metadata><zone>z</zone></metadata></instance></application></applications>`,
			`<application><instance/></application>`, `null`, `{"applications":null}`, `[]`, `<html></html>`,
		} {
			f.Add(asXML, text)
		}
	}
	f.Fuzz(func(t *testing.T, asXML bool, text string) {
		mediaType := "application/json"
		if asXML {
			mediaType = "text/xml; charset=utf-8"
		}
		cache := newInstanceCache(Mapping{ZoneKey: "zone"}, nil)
		d := &document{visit: cache.put}
		if d.decode(mediaType, strings.NewReader(text)) != nil {
			return
		}
		for _, e := range cache.changes(true, false).Endpoints {
			if err := endpoints.CheckAddress(e.Address); err != nil || e.Name == "" {
				t.Errorf("accepted endpoint %+v without a name or with an invalid address: %v", e, err)
			}
		}
		if trimmed := strings.TrimRight(text, " \t\r\n"); len(trimmed) > 0 && !asXML {
			if (&document{visit: cache.put}).decode(mediaType, strings.NewReader(trimmed[:len(trimmed)-1])) == nil {
				t.Errorf("document is accepted although its last byte is missing: %q", text)
			}
		}
	})
}

const benchmarkInstances = 5000

// BenchmarkDecode decodes a document of 5,000 instances into a cache.
//
//	go test -run '^$' -bench Decode -benchmem ./internal/discovery/eureka
func BenchmarkDecode(b *testing.B) {
	e := base.Eureka(b, fakes.EurekaOptions{})
	for i := range benchmarkInstances {
		e.Put(testInstance("SEATS", fmt.Sprint("host:seats:", i), 1000+i, "UP"))
	}
	for _, format := range []string{"json", "xml"} {
		request, _ := http.NewRequest(http.MethodGet, e.Base+"/apps", nil)
		request.Header.Set("Accept", "application/"+format)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		var text strings.Builder
		if _, err := io.Copy(&text, response.Body); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
		b.Run(format, func(b *testing.B) {
			b.SetBytes(int64(text.Len()))
			b.ReportAllocs()
			for b.Loop() {
				cache := newInstanceCache(Mapping{ZoneKey: "zone"}, []string{"SEATS"})
				d := &document{visit: cache.put}
				if err := d.decode("application/"+format, strings.NewReader(text.String())); err != nil || len(cache.instances) != benchmarkInstances {
					b.Fatal(err, len(cache.instances))
				}
			}
		})
	}
}
