package graphql

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
)

// resolveText returns the text of the requested document. trusted says that the document is a known operation.
func (e *Endpoint) resolveText(p *Params) (text string, trusted bool, problem *Problem) {
	switch {
	case p.BadHash:
		return "", false, newProblem(CodeRequest, "persistedQuery has version 1 and a sha256Hash")
	case p.Query == "" && p.Hash == "":
		return "", false, malformed("there is no query")
	}
	switch e.options.PersistedQueries {
	case "known":
		if p.Query == "" {
			if text, ok := e.knownTexts[p.Hash]; ok {
				return text, true, nil
			}
		} else if e.knownInFull[p.Query] && (p.Hash == "" || e.knownTexts[p.Hash] == p.Query) {
			return p.Query, true, nil
		}
		return "", false, newProblem(CodeUnknownOperation, "only known operations are served here")
	case "automatic":
		if p.Hash == "" {
			return p.Query, false, nil
		}
		if p.Query == "" {
			if text, ok := e.persistedTexts.get(p.Hash); ok {
				return text, false, nil
			}
			return "", false, newProblem(CodePersistedNotFound, "PersistedQueryNotFound")
		}
		sum := sha256.Sum256([]byte(p.Query))
		if hex.EncodeToString(sum[:]) != p.Hash {
			return "", false, newProblem(CodeRequest, "provided sha does not match query")
		}
		e.persistedTexts.put(p.Hash, p.Query, len(p.Query)+len(p.Hash)+bytesPerEntry)
		return p.Query, false, nil
	}
	if p.Query == "" {
		return "", false, newProblem(CodePersistedNotSupported, "PersistedQueryNotSupported")
	}
	return p.Query, false, nil
}

// knownOperations parses a file of known operations: an object from hash to text, or a manifest whose operations have an
// id and a body. An id that is a SHA-256 has to be the SHA-256 of the operation's text; other ids are not checked.
func knownOperations(text string) (map[string]string, error) {
	var manifest struct {
		Operations []struct {
			ID   string `json:"id"`
			Body string `json:"body"`
		} `json:"operations"`
	}
	known := map[string]string{}
	if json.Unmarshal([]byte(text), &manifest) == nil && manifest.Operations != nil {
		for _, op := range manifest.Operations {
			known[strings.ToLower(op.ID)] = op.Body
		}
	} else {
		var textsByID map[string]string
		if err := json.Unmarshal([]byte(text), &textsByID); err != nil {
			return nil, err
		}
		for id, body := range textsByID {
			known[strings.ToLower(id)] = body
		}
	}
	if len(known) == 0 {
		return nil, fmt.Errorf("the file has no operations")
	}
	for id, body := range known {
		if raw, err := hex.DecodeString(id); err == nil && len(raw) == sha256.Size {
			if sum := sha256.Sum256([]byte(body)); string(raw) != string(sum[:]) {
				return nil, fmt.Errorf("operation %s: its text has a different SHA-256", id)
			}
		}
	}
	return known, nil
}
