package config

import (
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/graphql"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/tomlfile"
)

// graphqlFiles holds the contents of the files that a GraphQL endpoint names. A text is empty if no file is named.
type graphqlFiles struct {
	schema, known string
}

// addGraphQLEndpoints adds the GraphQL endpoints and their routes to the plan. It reads their files, so that an unusable schema is reported
// as a problem of the configuration.
func (b *planBuilder) addGraphQLEndpoints() {
	for i := range b.file.GraphQL {
		at := fmt.Sprintf("graphql[%d]", i)
		b.addGraphQLEndpoint(b.file.GraphQL[i], at, func(key, format string, args ...any) {
			b.document.Report(at+key, format, args...)
		})
	}
}

func (b *planBuilder) addGraphQLEndpoint(options graphql.Options, at string, report reporter) {
	service := b.serviceOrOnly(options.Service, report)
	if service == nil {
		return
	}
	if _, err := routes.ParsePattern(options.Match, nil); err != nil {
		return // reported by its Check
	}
	files, ok := readGraphQLFiles(&options, report)
	if !ok {
		return
	}
	endpoint, err := graphql.New(options, service.class, files.schema, files.known)
	if err != nil {
		report("", "%v", err)
		return
	}
	// Equal declarations have the same fingerprint. By the fingerprint a reload recognizes an endpoint, and keeps its statistics.
	identity := fmt.Sprintf("%+v %+v %q", options, service.Settings.Classes, [2]string{files.schema, files.known})
	fingerprint := fmt.Sprintf("%016x", xxhash.Sum64String(identity))
	route, err := options.Route(service.Name, fingerprint, endpoint.MaxDeadline())
	if err != nil {
		return // the pattern has been parsed above
	}
	route.CompleteOnly = true
	if b.plan.Endpoints == nil {
		b.plan.Endpoints = map[string]*graphql.Endpoint{}
	}
	b.plan.Endpoints[fingerprint] = endpoint
	b.addRoutes(at+".match", []*routes.Route{route})
}

// readGraphQLFiles reads the files of an endpoint. It reports each file that cannot be read.
func readGraphQLFiles(options *graphql.Options, report reporter) (files graphqlFiles, ok bool) {
	ok = true
	read := func(key, path string) string {
		if path == "" {
			return ""
		}
		text, err := readBounded(path)
		if err != nil {
			report(key, "%v", err)
			ok = false
		}
		return text
	}
	files.schema = read(".schema", options.SchemaFile)
	files.known = read(".known", options.KnownFile)
	return files, ok
}

// readBounded reads a file of at most tomlfile.MaxBytes. An empty file is an error.
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
