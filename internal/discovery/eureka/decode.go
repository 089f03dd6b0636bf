package eureka

import (
	"bytes"
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
			err = w.instances(func(i *instance) error {
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

// jsonInstance is an instance in JSON.
type jsonInstance struct {
	App              text     `json:"app"`
	InstanceID       text     `json:"instanceId"`
	HostName         text     `json:"hostName"`
	IPAddr           text     `json:"ipAddr"`
	Status           text     `json:"status"`
	OverriddenStatus text     `json:"overriddenStatus"` // and overriddenstatus: case does not matter
	ActionType       text     `json:"actionType"`
	Port             jsonPort `json:"port"`
	SecurePort       jsonPort `json:"securePort"`
	Metadata         texts    `json:"metadata"`
	LeaseInfo        lenient[struct {
		ServiceUp  text `json:"serviceUpTimestamp"`
		Registered text `json:"registrationTimestamp"`
	}] `json:"leaseInfo"`
	DataCenterInfo lenient[struct {
		Metadata texts `json:"metadata"`
	}] `json:"dataCenterInfo"`
}

func (j *jsonInstance) instance() *instance {
	return &instance{app: string(j.App), id: string(j.InstanceID), host: string(j.HostName), ip: string(j.IPAddr),
		status: string(j.Status), overridden: string(j.OverriddenStatus), action: string(j.ActionType),
		port: port(j.Port), securePort: port(j.SecurePort), metadata: j.Metadata,
		dcZone: j.DataCenterInfo.v.Metadata["availability-zone"], up: number(string(j.LeaseInfo.v.ServiceUp)),
		registered: number(string(j.LeaseInfo.v.Registered))}
}

// text is a text, a number, a truth value, null, or an element with attributes.
type text string

func (t *text) UnmarshalJSON(b []byte) error {
	switch {
	case b[0] == '"' && bytes.IndexByte(b, '\\') < 0:
		*t = text(b[1 : len(b)-1])
	case b[0] == '"':
		return json.Unmarshal(b, (*string)(t))
	case b[0] == '{':
		var element struct {
			Text json.RawMessage `json:"$"`
		}
		if err := json.Unmarshal(b, &element); err != nil || len(element.Text) == 0 || element.Text[0] == '{' {
			return err
		}
		return t.UnmarshalJSON(element.Text)
	case b[0] == '[', b[0] == 'n':
		*t = ""
	default:
		*t = text(b)
	}
	return nil
}

// texts is an object of texts; what is no text in it is left out, and what is no object is empty.
type texts map[string]string

func (t *texts) UnmarshalJSON(b []byte) error {
	if b[0] != '{' {
		return nil
	}
	var from map[string]text
	if err := json.Unmarshal(b, &from); err != nil {
		return err
	}
	*t = make(texts, len(from))
	for key, value := range from {
		if value != "" && !strings.HasPrefix(key, "@") {
			(*t)[key] = string(value)
		}
	}
	return nil
}

// lenient is an object, or nothing where something else stands in its place.
type lenient[T any] struct{ v T }

func (l *lenient[T]) UnmarshalJSON(b []byte) error {
	if b[0] != '{' {
		return nil
	}
	return json.Unmarshal(b, &l.v)
}

type jsonPort port

func (p *jsonPort) UnmarshalJSON(b []byte) error {
	var number text
	if err := number.UnmarshalJSON(b); err != nil {
		return err
	}
	*p = jsonPort{number: portNumber(string(number)), on: b[0] != 'n'}
	if b[0] == '{' {
		var attributes struct {
			Enabled *text `json:"@enabled"`
		}
		if err := json.Unmarshal(b, &attributes); err != nil {
			return err
		}
		p.on = attributes.Enabled == nil || isTrue(string(*attributes.Enabled))
	}
	return nil
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

// text reads what text does.
func (w walker) text() (string, error) {
	var t text
	err := w.Decode(&t)
	return string(t), err
}

// instances calls fn for each instance of a list, or for a lone one.
func (w walker) instances(fn func(*instance) error) error {
	t, err := w.Token()
	switch {
	case err != nil:
		return err
	case t == nil, t == "":
		return nil
	case t == json.Delim('{'): // its brace has been read, and it has to be put together again
		parts := map[string]json.RawMessage{}
		if err := w.object(func(key string) error {
			var raw json.RawMessage
			err := w.Decode(&raw)
			parts[key] = raw
			return err
		}); err != nil {
			return err
		}
		whole, err := json.Marshal(parts)
		if err != nil {
			return err
		}
		var j jsonInstance
		if err := json.Unmarshal(whole, &j); err != nil {
			return err
		}
		return fn(j.instance())
	case t != json.Delim('['):
		return fmt.Errorf("%v stands where a list should", t)
	}
	for w.More() {
		var j jsonInstance
		if err := w.Decode(&j); err != nil {
			return err
		}
		if err := fn(j.instance()); err != nil {
			return err
		}
	}
	_, err = w.Token()
	return err
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
