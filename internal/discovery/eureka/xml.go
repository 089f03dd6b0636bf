package eureka

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"
)

// xmlInstance is an instance in XML.
type xmlInstance struct {
	App              string  `xml:"app"`
	ID               string  `xml:"instanceId"`
	Host             string  `xml:"hostName"`
	IP               string  `xml:"ipAddr"`
	Status           string  `xml:"status"`
	Overridden       string  `xml:"overriddenstatus"`
	OverriddenStatus string  `xml:"overriddenStatus"` // spelling in other versions of Eureka
	Action           string  `xml:"actionType"`
	Port             xmlPort `xml:"port"`
	SecurePort       xmlPort `xml:"securePort"`
	Metadata         xmlMap  `xml:"metadata"`
	Lease            xmlMap  `xml:"leaseInfo"`
	DataCenter       struct {
		Metadata xmlMap `xml:"metadata"`
	} `xml:"dataCenterInfo"`
}

func (x *xmlInstance) instance(application string) *instance {
	i := &instance{
		application:    x.App,
		id:             x.ID,
		host:           x.Host,
		ip:             x.IP,
		status:         x.Status,
		overridden:     x.Overridden,
		action:         x.Action,
		port:           x.Port.port(),
		securePort:     x.SecurePort.port(),
		metadata:       x.Metadata,
		dataCenterZone: x.DataCenter.Metadata[dataCenterZoneKey],
		upMs:           parseNumber(x.Lease[leaseServiceUpKey]),
		registeredMs:   parseNumber(x.Lease[leaseRegistrationKey]),
	}
	if i.application == "" {
		i.application = application
	}
	if i.overridden == "" {
		i.overridden = x.OverriddenStatus
	}
	return i
}

type xmlPort struct {
	Number  string  `xml:",chardata"`
	Enabled *string `xml:"enabled,attr"`
}

func (p xmlPort) port() port {
	return port{number: parsePort(p.Number), isEnabled: p.Number != "" && (p.Enabled == nil || isTrue(*p.Enabled))}
}

// xmlMap is an element whose children have keys as names and values as text.
type xmlMap map[string]string

// UnmarshalXML implements xml.Unmarshaler.
func (m *xmlMap) UnmarshalXML(d *xml.Decoder, _ xml.StartElement) error {
	*m = xmlMap{}
	for {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			var element struct {
				Text string `xml:",chardata"`
			}
			if err := d.DecodeElement(&element, &t); err != nil {
				return err
			}
			(*m)[t.Name.Local] = strings.TrimSpace(element.Text)
		case xml.EndElement:
			return nil
		}
	}
}

// xmlReader reads a document in XML.
type xmlReader struct {
	*xml.Decoder
	document    *document
	depth       int    // number of open applications and application elements
	application string // name of the present application
}

func (d *document) decodeXML(from io.Reader) error {
	r := &xmlReader{Decoder: xml.NewDecoder(from), document: d}
	for {
		t, err := r.Token()
		if err == io.EOF && r.depth == 0 {
			return errNoApplications
		}
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.EndElement:
			if r.depth--; r.depth == 0 {
				return r.checkEnd()
			}
			if t.Name.Local == "application" {
				r.application = ""
			}
		case xml.StartElement:
			if err := r.startElement(t); err != nil {
				return err
			}
		}
	}
}

// startElement reads an element. If the element contains instances, startElement reads only its start tag.
func (r *xmlReader) startElement(t xml.StartElement) (err error) {
	name := t.Name.Local
	if r.depth == 0 && name != "applications" && name != "application" {
		return fmt.Errorf("the registry's response has <%s> where <applications> or <application> is expected", name)
	}
	switch name {
	case "applications", "application":
		r.depth++
	case "instance":
		var i xmlInstance
		if err := r.DecodeElement(&i, &t); err != nil {
			return err
		}
		return r.document.add(i.instance(r.application))
	case "name":
		r.application, err = r.text(t)
	case "apps__hashcode":
		r.document.hash, err = r.text(t)
	default:
		err = r.Skip()
	}
	return err
}

// text reads an element and returns its text.
func (r *xmlReader) text(t xml.StartElement) (string, error) {
	var text string
	err := r.DecodeElement(&text, &t)
	return strings.TrimSpace(text), err
}

// checkEnd returns an error unless only white space and comments follow.
func (r *xmlReader) checkEnd() error {
	for {
		t, err := r.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.CharData:
			if strings.TrimSpace(string(t)) != "" {
				return errTrailingContent
			}
		case xml.StartElement:
			return errTrailingContent
		}
	}
}
