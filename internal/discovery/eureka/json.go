package eureka

import (
	"encoding/json"
	"fmt"
	"io"
)

// The JSON documents have the form to which XStream converts XML. A list of one element is a single object, and an empty list may be null
// or absent. Numbers and booleans may be strings. {"$":8080,"@enabled":"true"} is an element with an attribute.

func (d *document) decodeJSON(from io.Reader) error {
	r := jsonReader{json.NewDecoder(from)}
	found := false
	err := r.object(func(key string) error {
		switch key {
		case "applications":
			found = true
			return r.objects(func() error { return d.applications(r) })
		case "application":
			found = true
			return r.objects(func() error { return d.application(r) })
		}
		return r.skip()
	})
	if err != nil {
		return err
	}
	if !found {
		return errNoApplications
	}
	if _, err := r.Token(); err != io.EOF {
		return errTrailingContent
	}
	return nil
}

// applications reads the fields of the JSON object "applications", whose opening brace has been read.
func (d *document) applications(r jsonReader) error {
	return r.fields(func(key string) (err error) {
		switch key {
		case "apps__hashcode":
			d.hash, err = r.text()
		case "application":
			err = r.objects(func() error { return d.application(r) })
		default:
			err = r.skip()
		}
		return err
	})
}

// application reads the fields of an application, whose opening brace has been read. Instances that precede the application's name are
// added at the end.
func (d *document) application(r jsonReader) error {
	name := ""
	var unnamed []*instance
	err := r.fields(func(key string) (err error) {
		switch key {
		case "name":
			name, err = r.text()
		case "instance":
			err = r.instances(func(i *instance) error {
				if i.application == "" && name == "" {
					if unnamed = append(unnamed, i); len(unnamed) > MaxInstances {
						return errTooManyInstances
					}
					return nil
				}
				if i.application == "" {
					i.application = name
				}
				return d.add(i)
			})
		default:
			err = r.skip()
		}
		return err
	})
	for _, i := range unnamed {
		if i.application = name; err == nil {
			err = d.add(i)
		}
	}
	return err
}

// jsonReader reads JSON token by token.
type jsonReader struct{ *json.Decoder }

// object reads an object. It calls field for each key, and field must read the key's value.
func (r jsonReader) object(field func(key string) error) error {
	if err := r.openObject(); err != nil {
		return err
	}
	return r.fields(field)
}

// openObject reads the opening brace of an object.
func (r jsonReader) openObject() error {
	t, err := r.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return fmt.Errorf("the registry's response has %v where a JSON object is expected", t)
	}
	return nil
}

// fields calls field for each key of an object whose opening brace has been read. field must read the key's value.
func (r jsonReader) fields(field func(key string) error) error {
	for r.More() {
		t, err := r.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string) // the decoder only returns strings as keys
		if err := field(key); err != nil {
			return err
		}
	}
	_, err := r.Token()
	return err
}

// openList reads the opening bracket of a list. In place of a list it accepts the opening brace of a single object. In place of an empty
// list it accepts null or an empty string.
func (r jsonReader) openList() (isList, isObject bool, err error) {
	t, err := r.Token()
	switch {
	case err != nil:
		return false, false, err
	case t == nil, t == "":
		return false, false, nil
	case t == json.Delim('{'):
		return false, true, nil
	case t != json.Delim('['):
		return false, false, fmt.Errorf("the registry's response has %v where a JSON list is expected", t)
	}
	return true, false, nil
}

// closeList reads the closing bracket of a list.
func (r jsonReader) closeList() error {
	_, err := r.Token()
	return err
}

// objects calls read for each object of a list, or for a single object in place of a list. Before each call of read it reads the object's
// opening brace.
func (r jsonReader) objects(read func() error) error {
	isList, isObject, err := r.openList()
	switch {
	case err != nil:
		return err
	case isObject:
		return read()
	case !isList:
		return nil
	}
	for r.More() {
		if err := r.openObject(); err != nil {
			return err
		}
		if err := read(); err != nil {
			return err
		}
	}
	return r.closeList()
}

// instances calls visit for each instance of a list, or for a single instance in place of a list.
func (r jsonReader) instances(visit func(*instance) error) error {
	isList, isObject, err := r.openList()
	switch {
	case err != nil:
		return err
	case isObject:
		i, err := r.loneInstance()
		if err != nil {
			return err
		}
		return visit(i)
	case !isList:
		return nil
	}
	for r.More() {
		var j jsonInstance
		if err := r.Decode(&j); err != nil {
			return err
		}
		if err := visit(j.instance()); err != nil {
			return err
		}
	}
	return r.closeList()
}

// loneInstance reads an instance whose opening brace has been read. It collects the fields and encodes them again as one object, which
// the decoder can read.
func (r jsonReader) loneInstance() (*instance, error) {
	fields := map[string]json.RawMessage{}
	err := r.fields(func(key string) error {
		var raw json.RawMessage
		err := r.Decode(&raw)
		fields[key] = raw
		return err
	})
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	var j jsonInstance
	if err := json.Unmarshal(text, &j); err != nil {
		return nil, err
	}
	return j.instance(), nil
}

// skip reads and discards a value of any kind.
func (r jsonReader) skip() error {
	var raw json.RawMessage
	return r.Decode(&raw)
}

// text reads a value as jsonText.
func (r jsonReader) text() (string, error) {
	var t jsonText
	err := r.Decode(&t)
	return string(t), err
}
