package eureka

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxInstances is how many a document may have.
const MaxInstances = 20_000

// document is what a registry answered. Its instances are given to a function one by one, so that a large document is
// never held whole.
type document struct {
	hash      string // apps__hashcode; empty: there is none
	version   string // versions__delta
	instances int
	visit     func(*instance) error
}

func (d *document) add(i *instance) error {
	if i.key() == "" {
		return errors.New("an instance without id and host")
	}
	if d.instances++; d.instances > MaxInstances {
		return fmt.Errorf("more than %d instances", MaxInstances)
	}
	return d.visit(i)
}

// decode reads a document by its media type. It fails on whatever is no whole document; what it has visited until then
// does not count.
func (d *document) decode(mediaType string, from io.Reader) error {
	kind, _, _ := strings.Cut(mediaType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case strings.HasSuffix(kind, "json"):
		return d.decodeJSON(from)
	case strings.HasSuffix(kind, "/xml"), strings.HasSuffix(kind, "+xml"):
		return d.decodeXML(from)
	}
	return fmt.Errorf("the answer is %q, neither JSON nor XML", kind)
}

// The JSON is what XStream makes of XML: a list of one is a lone object, an empty one may be null or absent, numbers and
// truth values may be texts, {"$":8080,"@enabled":"true"} is an element with an attribute.

func (d *document) decodeJSON(from io.Reader) error {
	w := walker{json.NewDecoder(from)}
	found := false
	err := w.value(func() error {
		return w.object(func(key string) error {
			switch key {
			case "applications":
				found = true
				return w.each(func() error { return d.applications(w) })
			case "application":
				found = true
				return w.each(func() error { return d.application(w) })
			}
			return w.skip()
		})
	})
	if err != nil {
		return err
	}
	if !found {
		return errors.New("no applications stand in the answer")
	}
	if _, err := w.Token(); err != io.EOF {
		return errors.New("something stands behind the document")
	}
	return nil
}

// applications reads an object whose brace has been read.
func (d *document) applications(w walker) error {
	return w.object(func(key string) (err error) {
		switch key {
		case "versions__delta":
			d.version, err = w.text()
		case "apps__hashcode":
			d.hash, err = w.text()
		case "application":
			err = w.each(func() error { return d.application(w) })
		default:
			err = w.skip()
		}
		return err
	})
}

func (d *document) application(w walker) error {
	name := ""
	var early []*instance // whose application's name comes behind them
	err := w.object(func(key string) (err error) {
		switch key {
		case "name":
			name, err = w.text()
		case "instance":
			err = w.each(func() error {
				i, err := readInstance(w)
				if err != nil {
					return err
				}
				if i.app == "" && name == "" {
					early = append(early, i)
					if len(early) > MaxInstances {
						return fmt.Errorf("more than %d instances", MaxInstances)
					}
					return nil
				}
				if i.app == "" {
					i.app = name
				}
				return d.add(i)
			})
		default:
			err = w.skip()
		}
		return err
	})
	for _, i := range early {
		if i.app = name; err == nil {
			err = d.add(i)
		}
	}
	return err
}

func readInstance(w walker) (*instance, error) {
	i := &instance{}
	err := w.object(func(key string) (err error) {
		switch strings.ToLower(key) {
		case "app":
			i.app, err = w.text()
		case "instanceid":
			i.id, err = w.text()
		case "hostname":
			i.host, err = w.text()
		case "ipaddr":
			i.ip, err = w.text()
		case "status":
			i.status, err = w.text()
		case "overriddenstatus":
			i.overridden, err = w.text()
		case "actiontype":
			i.action, err = w.text()
		case "port":
			i.port, err = w.port()
		case "secureport":
			i.securePort, err = w.port()
		case "metadata":
			i.metadata, err = w.texts()
		case "leaseinfo":
			var lease map[string]string
			if lease, err = w.texts(); err == nil {
				i.up, i.registered = number(lease["serviceUpTimestamp"]), number(lease["registrationTimestamp"])
			}
		case "datacenterinfo":
			var dc struct {
				Metadata map[string]any `json:"metadata"`
			}
			if err = w.Decode(&dc); err == nil {
				i.dcZone, _ = dc.Metadata["availability-zone"].(string)
			}
		default:
			err = w.skip()
		}
		return err
	})
	return i, err
}

// walker reads JSON token by token.
type walker struct{ *json.Decoder }

// value reads one value that has to be an object; its brace has been read when fn is called.
func (w walker) value(fn func() error) error {
	t, err := w.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return fmt.Errorf("%v stands where an object should", t)
	}
	return fn()
}

// object calls fn for each key of an object whose brace has been read. fn reads the value.
func (w walker) object(fn func(key string) error) error {
	for w.More() {
		t, err := w.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string) // by the grammar it is one
		if err := fn(key); err != nil {
			return err
		}
	}
	_, err := w.Token()
	return err
}

// each calls fn for each object of a list, for a lone object, or for none; its brace has been read.
func (w walker) each(fn func() error) error {
	t, err := w.Token()
	switch {
	case err != nil:
		return err
	case t == nil, t == "":
		return nil
	case t == json.Delim('{'):
		return fn()
	case t != json.Delim('['):
		return fmt.Errorf("%v stands where a list should", t)
	}
	for w.More() {
		if err := w.value(fn); err != nil {
			return err
		}
	}
	_, err = w.Token()
	return err
}

func (w walker) skip() error {
	var raw json.RawMessage
	return w.Decode(&raw)
}

// text reads a text, a number, a truth value or null.
func (w walker) text() (string, error) {
	var v any
	w.UseNumber()
	if err := w.Decode(&v); err != nil {
		return "", err
	}
	return textOf(v), nil
}

func textOf(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		if v {
			return "true"
		}
		return "false"
	case map[string]any:
		return textOf(v["$"])
	}
	return ""
}

// texts reads an object of texts; what is no text in it is left out.
func (w walker) texts() (map[string]string, error) {
	var v any
	w.UseNumber()
	if err := w.Decode(&v); err != nil {
		return nil, err
	}
	from, _ := v.(map[string]any) // null, or "" for an empty element
	out := make(map[string]string, len(from))
	for key, value := range from {
		if text := textOf(value); text != "" && !strings.HasPrefix(key, "@") {
			out[key] = text
		}
	}
	return out, nil
}

func (w walker) port() (port, error) {
	var v any
	w.UseNumber()
	if err := w.Decode(&v); err != nil {
		return port{}, err
	}
	p := port{number: portNumber(textOf(v)), on: v != nil}
	if o, is := v.(map[string]any); is && o["@enabled"] != nil {
		p.on = isTrue(textOf(o["@enabled"]))
	}
	return p, nil
}

func portNumber(text string) int {
	if n := number(text); n > 0 && n < 1<<16 {
		return int(n)
	}
	return 0
}

// xmlInstance is an instance in XML.
type xmlInstance struct {
	App         string  `xml:"app"`
	ID          string  `xml:"instanceId"`
	Host        string  `xml:"hostName"`
	IP          string  `xml:"ipAddr"`
	Status      string  `xml:"status"`
	Overridden  string  `xml:"overriddenstatus"`
	Overridden2 string  `xml:"overriddenStatus"`
	Action      string  `xml:"actionType"`
	Port        xmlPort `xml:"port"`
	SecurePort  xmlPort `xml:"securePort"`
	Metadata    xmlMap  `xml:"metadata"`
	Lease       xmlMap  `xml:"leaseInfo"`
	DataCentre  struct {
		Metadata xmlMap `xml:"metadata"`
	} `xml:"dataCenterInfo"`
}

type xmlPort struct {
	Number  string  `xml:",chardata"`
	Enabled *string `xml:"enabled,attr"`
}

func (p xmlPort) port() port {
	return port{number: portNumber(p.Number), on: p.Number != "" && (p.Enabled == nil || isTrue(*p.Enabled))}
}

// xmlMap is an element whose children are keys.
type xmlMap map[string]string

func (m *xmlMap) UnmarshalXML(d *xml.Decoder, _ xml.StartElement) error {
	*m = xmlMap{}
	for {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			var text struct {
				Text string `xml:",chardata"`
			}
			if err := d.DecodeElement(&text, &t); err != nil {
				return err
			}
			(*m)[t.Name.Local] = strings.TrimSpace(text.Text)
		case xml.EndElement:
			return nil
		}
	}
}

func (d *document) decodeXML(from io.Reader) error {
	x := xml.NewDecoder(from)
	depth, app := 0, ""
	for {
		t, err := x.Token()
		if err == io.EOF && depth == 0 {
			return errors.New("no applications stand in the answer")
		}
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.EndElement:
			if depth--; depth == 0 {
				return d.xmlRest(x)
			}
			if t.Name.Local == "application" {
				app = ""
			}
		case xml.StartElement:
			name := t.Name.Local
			if depth == 0 && name != "applications" && name != "application" {
				return fmt.Errorf("<%s> stands where applications should", name)
			}
			switch name {
			case "applications", "application":
				depth++
			case "instance":
				var i xmlInstance
				if err := x.DecodeElement(&i, &t); err != nil {
					return err
				}
				if err := d.add(i.instance(app)); err != nil {
					return err
				}
			case "name", "apps__hashcode", "versions__delta":
				var text string
				if err := x.DecodeElement(&text, &t); err != nil {
					return err
				}
				switch text = strings.TrimSpace(text); name {
				case "name":
					app = text
				case "apps__hashcode":
					d.hash = text
				default:
					d.version = text
				}
			default:
				if err := x.Skip(); err != nil {
					return err
				}
			}
		}
	}
}

// xmlRest holds that nothing but white space and comments follows.
func (d *document) xmlRest(x *xml.Decoder) error {
	for {
		t, err := x.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if text, is := t.(xml.CharData); is && strings.TrimSpace(string(text)) != "" {
			return errors.New("something stands behind the document")
		} else if _, is := t.(xml.StartElement); is {
			return errors.New("something stands behind the document")
		}
	}
}

func (x *xmlInstance) instance(app string) *instance {
	i := &instance{app: x.App, id: x.ID, host: x.Host, ip: x.IP, status: x.Status, overridden: x.Overridden,
		port: x.Port.port(), securePort: x.SecurePort.port(), metadata: x.Metadata, action: x.Action,
		dcZone: x.DataCentre.Metadata["availability-zone"], up: number(x.Lease["serviceUpTimestamp"]),
		registered: number(x.Lease["registrationTimestamp"])}
	if i.app == "" {
		i.app = app
	}
	if i.overridden == "" {
		i.overridden = x.Overridden2
	}
	return i
}
