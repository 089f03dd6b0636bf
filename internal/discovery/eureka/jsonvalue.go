package eureka

import (
	"bytes"
	"encoding/json"
	"strings"
)

// jsonInstance is an instance in JSON. The decoder ignores the case of field names, so that it also reads overriddenstatus.
type jsonInstance struct {
	App              jsonText  `json:"app"`
	InstanceID       jsonText  `json:"instanceId"`
	HostName         jsonText  `json:"hostName"`
	IPAddr           jsonText  `json:"ipAddr"`
	Status           jsonText  `json:"status"`
	OverriddenStatus jsonText  `json:"overriddenStatus"`
	ActionType       jsonText  `json:"actionType"`
	Port             jsonPort  `json:"port"`
	SecurePort       jsonPort  `json:"securePort"`
	Metadata         jsonTexts `json:"metadata"`
	LeaseInfo        lenient[struct {
		ServiceUp  jsonText `json:"serviceUpTimestamp"`
		Registered jsonText `json:"registrationTimestamp"`
	}] `json:"leaseInfo"`
	DataCenterInfo lenient[struct {
		Metadata jsonTexts `json:"metadata"`
	}] `json:"dataCenterInfo"`
}

func (j *jsonInstance) instance() *instance {
	return &instance{
		application:    string(j.App),
		id:             string(j.InstanceID),
		host:           string(j.HostName),
		ip:             string(j.IPAddr),
		status:         string(j.Status),
		overridden:     string(j.OverriddenStatus),
		action:         string(j.ActionType),
		port:           port(j.Port),
		securePort:     port(j.SecurePort),
		metadata:       j.Metadata,
		dataCenterZone: j.DataCenterInfo.value.Metadata[dataCenterZoneKey],
		upMs:           parseNumber(string(j.LeaseInfo.value.ServiceUp)),
		registeredMs:   parseNumber(string(j.LeaseInfo.value.Registered)),
	}
}

// jsonText is the text of a string, a number, a boolean, or an element with attributes. It is empty for null and any other value.
type jsonText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *jsonText) UnmarshalJSON(b []byte) error {
	switch {
	case b[0] == '"' && bytes.IndexByte(b, '\\') < 0:
		*t = jsonText(b[1 : len(b)-1])
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
		*t = jsonText(b)
	}
	return nil
}

// jsonTexts contains the fields of an object with jsonText values, without empty values and attributes. It is empty if the JSON value is
// not an object.
type jsonTexts map[string]string

// UnmarshalJSON implements json.Unmarshaler.
func (t *jsonTexts) UnmarshalJSON(b []byte) error {
	if b[0] != '{' {
		return nil
	}
	var from map[string]jsonText
	if err := json.Unmarshal(b, &from); err != nil {
		return err
	}
	*t = make(jsonTexts, len(from))
	for key, value := range from {
		if value != "" && !strings.HasPrefix(key, "@") {
			(*t)[key] = string(value)
		}
	}
	return nil
}

// lenient decodes an object. Any other JSON value results in the zero value instead of an error.
type lenient[T any] struct{ value T }

// UnmarshalJSON implements json.Unmarshaler.
func (l *lenient[T]) UnmarshalJSON(b []byte) error {
	if b[0] != '{' {
		return nil
	}
	return json.Unmarshal(b, &l.value)
}

// jsonPort is a port number, or an element with the port number and the attribute "enabled".
type jsonPort port

// UnmarshalJSON implements json.Unmarshaler.
func (p *jsonPort) UnmarshalJSON(b []byte) error {
	var number jsonText
	if err := number.UnmarshalJSON(b); err != nil {
		return err
	}
	*p = jsonPort{number: parsePort(string(number)), isEnabled: b[0] != 'n'}
	if b[0] == '{' {
		var attributes struct {
			Enabled *jsonText `json:"@enabled"`
		}
		if err := json.Unmarshal(b, &attributes); err != nil {
			return err
		}
		p.isEnabled = attributes.Enabled == nil || isTrue(string(*attributes.Enabled))
	}
	return nil
}
