package graphql

import (
	"strconv"
	"strings"
)

// NegotiateMedia returns the answer's media type for an Accept header, or false if the client accepts neither type. Without a
// header the type is MediaResponse, as the specification says since 2025. MediaResponse is also chosen if both types have the
// same quality.
func NegotiateMedia(accept []string) (string, bool) {
	if len(accept) == 0 {
		return MediaResponse, true
	}
	quality := func(media string) float64 {
		bestQuality, bestPrecision := 0.0, -1
		for _, line := range accept {
			for _, item := range strings.Split(line, ",") {
				parts := strings.Split(item, ";")
				name := strings.ToLower(strings.TrimSpace(parts[0]))
				precision := -1
				switch name {
				case media:
					precision = 2
				case "application/*":
					precision = 1
				case "*/*":
					precision = 0
				}
				if precision < bestPrecision || precision < 0 {
					continue
				}
				q := 1.0
				for _, p := range parts[1:] {
					if key, value, _ := strings.Cut(strings.TrimSpace(p), "="); strings.EqualFold(key, "q") {
						if q, _ = strconv.ParseFloat(strings.TrimSpace(value), 64); !(q >= 0 && q <= 1) {
							q = 0
						}
					}
				}
				bestQuality, bestPrecision = q, precision
			}
		}
		return bestQuality
	}
	responseQuality, jsonQuality := quality(MediaResponse), quality(MediaJSON)
	switch {
	case responseQuality == 0 && jsonQuality == 0:
		return "", false
	case jsonQuality > responseQuality:
		return MediaJSON, true
	}
	return MediaResponse, true
}

// IsJSON reports whether a Content-Type is application/json with UTF-8 as its charset, or without a charset.
func IsJSON(contentType string) bool {
	name, params, _ := strings.Cut(contentType, ";")
	if !strings.EqualFold(strings.TrimSpace(name), MediaJSON) {
		return false
	}
	for _, p := range strings.Split(params, ";") {
		key, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		if strings.EqualFold(strings.TrimSpace(key), "charset") && !strings.EqualFold(value, "utf-8") {
			return false
		}
	}
	return true
}

// The media types of GraphQL over HTTP.
const (
	MediaResponse = "application/graphql-response+json"
	MediaJSON     = "application/json"
)
