package graphql

import (
	"errors"
	"math"

	"github.com/vektah/gqlparser/v2/ast"

	"orchiddrift/internal/units"
)

// extentMeasurer counts the aliases and directives of a document, and the depth and fields of its selections.
type extentMeasurer struct {
	doc                 *ast.QueryDocument
	limits              *Limits
	fragments           map[string]*extent // an entry is nil while its fragment is being measured
	aliases, directives int
}

// extent is the nesting depth and the number of fields of a selection, with fragments expanded.
type extent struct{ depth, fields int }

var errCycle = errors.New("a fragment contains itself")

// checkExtent checks a document's names and fragments, and its extent against the limits. Fragments that no operation uses count as well.
func checkExtent(doc *ast.QueryDocument, limits *Limits) *Problem {
	m := &extentMeasurer{doc: doc, limits: limits, fragments: map[string]*extent{}}
	if problem := m.checkNames(); problem != nil {
		return problem
	}
	extents := make([]extent, len(doc.Operations))
	for i, op := range doc.Operations {
		m.directives += len(op.Directives)
		var err error
		if extents[i], err = m.selectionSet(op.SelectionSet); err != nil {
			return newProblem(CodeValidation, "%v", err)
		}
	}
	for _, f := range doc.Fragments {
		if _, err := m.fragment(f.Name); err != nil {
			return newProblem(CodeValidation, "%v", err)
		}
	}
	for _, x := range extents {
		if problem := m.checkLimits(x); problem != nil {
			return problem
		}
	}
	return nil
}

// checkNames rejects names that occur twice and operations whose name is missing: the parser's result is looked up by name.
func (m *extentMeasurer) checkNames() *Problem {
	operationNames := map[string]bool{}
	for _, op := range m.doc.Operations {
		if op.Name == "" && len(m.doc.Operations) > 1 {
			return newProblem(CodeValidation, "an operation without a name must stand alone")
		}
		if operationNames[op.Name] {
			return newProblem(CodeValidation, "there are two operations of the name %q", op.Name)
		}
		operationNames[op.Name] = true
	}
	fragmentNames := map[string]bool{}
	for _, f := range m.doc.Fragments {
		if fragmentNames[f.Name] {
			return newProblem(CodeValidation, "there are two fragments of the name %q", f.Name)
		}
		fragmentNames[f.Name] = true
	}
	return nil
}

func (m *extentMeasurer) checkLimits(x extent) *Problem {
	for _, c := range []struct {
		name     string
		n, limit int
	}{{"fields within each other", x.depth, m.limits.Depth}, {"fields", x.fields, m.limits.Fields}, {"aliases", m.aliases, m.limits.Aliases},
		{"directives", m.directives, m.limits.Directives}} {
		if c.n > c.limit {
			return newProblem(CodeLimit, "%d %s, %d at most", c.n, c.name, c.limit)
		}
	}
	return nil
}

func (m *extentMeasurer) selectionSet(set ast.SelectionSet) (x extent, err error) {
	for _, s := range set {
		var inner extent
		switch s := s.(type) {
		case *ast.Field:
			m.directives += len(s.Directives)
			if s.Alias != "" && s.Alias != s.Name {
				m.aliases++
			}
			if inner, err = m.selectionSet(s.SelectionSet); err != nil {
				return x, err
			}
			inner.depth, inner.fields = inner.depth+1, inner.fields+1
		case *ast.InlineFragment:
			m.directives += len(s.Directives)
			if inner, err = m.selectionSet(s.SelectionSet); err != nil {
				return x, err
			}
		case *ast.FragmentSpread:
			m.directives += len(s.Directives)
			if inner, err = m.fragment(s.Name); err != nil {
				return x, err
			}
		}
		x.depth = max(x.depth, inner.depth)
		x.fields = min(x.fields+inner.fields, math.MaxInt32) // nested fragments can double the number at each level
	}
	return x, nil
}

func (m *extentMeasurer) fragment(name string) (extent, error) {
	if x, visited := m.fragments[name]; visited {
		if x == nil {
			return extent{}, errCycle
		}
		return *x, nil
	}
	f := m.doc.Fragments.ForName(name)
	if f == nil {
		return extent{}, errors.New("there is no fragment " + name)
	}
	m.fragments[name] = nil
	m.directives += len(f.Directives)
	x, err := m.selectionSet(f.SelectionSet)
	if err != nil {
		return x, err
	}
	m.fragments[name] = &x
	return x, nil
}

// Limits bound requests and documents. Tokens, depth, fields, aliases and directives are checked before a document is validated.
type Limits struct {
	Tokens     int        `toml:"tokens" default:"1500" doc:"Tokens of a document."`
	Depth      int        `toml:"depth" default:"20" doc:"Nesting depth of fields, with fragments expanded."`
	Fields     int        `toml:"fields" default:"5000" doc:"Fields of an operation, with fragments expanded."`
	Roots      int        `toml:"root_fields" default:"20" doc:"Root fields of an operation."`
	Aliases    int        `toml:"aliases" default:"50" doc:"Aliases of a document."`
	Directives int        `toml:"directives" default:"50" doc:"Directives of a document."`
	Batch      int        `toml:"batch" default:"10" doc:"Entries of a batch. With 1, batches are rejected."`
	Variables  units.Size `toml:"variables" default:"32KiB" doc:"Size of the variables of an operation, as JSON."`
	Cost       float64    `toml:"cost" doc:"Estimated cost of an operation. With 0 there is no limit."`
	Answers    units.Size `toml:"batch_answers" default:"1MiB" doc:"Size of the answers of a batch together."`
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{Tokens: 1500, Depth: 20, Fields: 5000, Roots: 20, Aliases: 50, Directives: 50, Batch: 10,
		Variables: 32 * units.KiB, Answers: units.MiB}
}

// Check implements tomlfile.Checker.
func (l *Limits) Check(report func(key, format string, args ...any)) {
	for _, x := range []struct {
		key      string
		n, limit int
	}{{"tokens", l.Tokens, maxTokens}, {"depth", l.Depth, maxDepth}, {"fields", l.Fields, maxFields}, {"root_fields", l.Roots, maxTokens},
		{"aliases", l.Aliases, maxTokens}, {"directives", l.Directives, maxTokens}, {"batch", l.Batch, maxBatch}} {
		minimum := 1
		if x.key == "aliases" || x.key == "directives" {
			minimum = 0
		}
		if x.n < minimum || x.n > x.limit {
			report(x.key, "%d is not from %d to %d", x.n, minimum, x.limit)
		}
	}
	if !(l.Cost >= 0) || math.IsInf(l.Cost, 0) {
		report("cost", "%v is not a finite number of at least 0", l.Cost)
	}
	if l.Variables < 0 || l.Answers <= 0 {
		report("batch_answers", "batch_answers has to be above 0, and variables at least 0")
	}
}
