package config

import (
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/tomlfile"
)

// placed is a route and where it stands in the file.
type placed struct {
	route *routes.Route
	at    string
}

// endpoints makes the GraphQL endpoints, with their routes. Their files are read here: a schema that can't be used is a
// mistake of the configuration.
func (f *File) endpoints(p *Plan, names map[string]int, doc *tomlfile.Document) (out []placed) {
	for i := range f.GraphQL {
		at, o := fmt.Sprintf("graphql[%d]", i), f.GraphQL[i]
		name := o.Service
		if name == "" && len(p.Services) == 1 {
			name = p.Services[0].Name
		}
		n, ok := names[name]
		if !ok {
			doc.Report(at+".service", "there is no service %q", name)
			continue
		}
		if _, err := routes.ParsePattern(o.Match, nil); err != nil {
			continue // its Check has said so
		}
		classes := p.Services[n].Settings.Classes
		texts := [2]string{}
		for j, file := range [2]struct{ key, path string }{{".schema", o.Schema}, {".known", o.Known}} {
			if file.path == "" {
				continue
			}
			text, err := readBounded(file.path)
			if err != nil {
				doc.Report(at+file.key, "%v", err)
				ok = false
			}
			texts[j] = text
		}
		if !ok {
			continue
		}
		e, err := graphql.New(o, func(name string) *balancer.Class {
			for j := range classes {
				if classes[j].Name == name {
					return &classes[j]
				}
			}
			return nil
		}, texts[0], texts[1])
		if err != nil {
			doc.Report(at, "%v", err)
			continue
		}
		// Two files that say the same make endpoints of one fingerprint: what the first has learnt stays.
		print := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%+v %+v %q", o, classes, texts)))
		r, err := o.Route(name, print, e.MaxDeadline())
		if err != nil {
			continue // its pattern has been read above
		}
		r.CompleteOnly = true
		if p.Endpoints == nil {
			p.Endpoints = map[string]*graphql.Endpoint{}
		}
		p.Endpoints[print] = e
		out = append(out, placed{r, at + ".match"})
	}
	return out
}

// readBounded reads a file of at most tomlfile.MaxBytes.
func readBounded(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, tomlfile.MaxBytes+1))
	switch {
	case err != nil:
		return "", err
	case len(text) > tomlfile.MaxBytes:
		return "", fmt.Errorf("%s has more than %d bytes", path, tomlfile.MaxBytes)
	case len(text) == 0:
		return "", fmt.Errorf("%s is empty", path)
	}
	return string(text), nil
}
