package repository

import (
	"go/ast"
	"slices"
	"strings"
	"testing"
)

// decisionPackages decide and do nothing else: events and times go in, actions come out. They are the same in service, in a test and in a
// simulation.
var decisionPackages = []string{
	"balancer",
	"internal/admission",
	"internal/discovery/membership",
	"internal/discovery/staleness",
	"internal/discovery/subset",
	"internal/idempotency",
	"internal/lease",
	"internal/lifecycle",
	"internal/server/framing",
	"internal/task",
	"internal/upstream/loadprobe",
	"internal/upstream/prewarm",
}

// forbiddenImports are packages of the standard library by which a decision would do I/O or run beside its caller.
var forbiddenImports = []string{"context", "io", "net", "net/http", "os", "os/exec", "sync", "sync/atomic", "syscall"}

// clockFunctions of package time read the clock or wait.
var clockFunctions = []string{"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Until"}

// A decision package does no I/O, reads no clock and starts no goroutine.
func TestDecisionPackagesArePure(t *testing.T) {
	files, fileset := sources(t)
	seen := map[string]bool{}
	for _, file := range files {
		if !slices.Contains(decisionPackages, file.folder) {
			continue
		}
		seen[file.folder] = true
		for _, imported := range file.imports {
			if slices.Contains(forbiddenImports, imported) {
				t.Errorf("%s imports %s", file.path, imported)
			}
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", fileset.Position(node.Pos()))
			case *ast.SelectorExpr:
				if of, ok := node.X.(*ast.Ident); ok && of.Name == "time" && slices.Contains(clockFunctions, node.Sel.Name) {
					t.Errorf("%s uses time.%s", fileset.Position(node.Pos()), node.Sel.Name)
				}
			}
			return true
		})
	}
	for _, folder := range decisionPackages {
		if !seen[folder] {
			t.Errorf("no package %s", folder)
		}
	}
}

// layers are the packages from the lowest up, by their folders or what these begin with. A package imports its own layer and those below.
var layers = []struct {
	name    string
	folders []string
}{
	{"values and helpers", []string{"internal/units", "internal/clock", "internal/priorityqueue", "internal/httpheader", "internal/tomlfile",
		"internal/boltfile", "internal/filewatch", "internal/logging", "internal/metrics", "internal/bulkhead", "internal/server/framing",
		"internal/server/yielding", "internal/server/acceptor", "internal/server/control", "internal/lifecycle", "internal/upstream/loadprobe",
		"internal/upstream/prewarm"}},
	{"decisions on requests", []string{"balancer", "internal/settings"}},
	{"endpoints and decisions on state", []string{"internal/endpoints", "internal/admission", "internal/idempotency", "internal/lease", "internal/task",
		"internal/discovery/staleness", "internal/discovery/membership", "internal/discovery/subset", "internal/discovery/listfile",
		"internal/tlscredentials", "internal/discovery/eureka", "internal/idempotency/recordcodec", "internal/routes", "internal/graphql",
		"internal/engine", "internal/handover", "internal/simwire"}},
	{"drivers", []string{"internal/admission/controller", "internal/discovery", "internal/idempotency/boltstore", "internal/idempotency/etcdstore",
		"internal/idempotency/executor", "internal/lease/raftgroup", "internal/task/runner", "internal/upstream", "internal/server/downstream"}},
	{"configuration", []string{"internal/config"}},
	{"protocol adapters", []string{"internal/daemon", "grpcbalancer"}},
	{"simulations, load and tests", []string{"internal/simulation", "internal/testing", "internal/fakes", "internal/loadgen", "internal/demo", "internal/measure"}},
	{"programs", []string{"cmd"}},
}

// layerOf returns the layer whose folder is the longest beginning of a package's, or -1.
func layerOf(folder string) int {
	layer, longest := -1, -1
	for i, l := range layers {
		for _, f := range l.folders {
			if (folder == f || strings.HasPrefix(folder, f+"/")) && len(f) > longest {
				layer, longest = i, len(f)
			}
		}
	}
	return layer
}

// Imports point down: no package knows one of a layer above its own.
func TestImportsPointDown(t *testing.T) {
	files, _ := sources(t)
	for _, file := range files {
		own := layerOf(file.folder)
		if own < 0 {
			t.Errorf("%s is in no layer", file.folder)
			continue
		}
		for _, imported := range file.imports {
			folder, ok := strings.CutPrefix(imported, module+"/")
			if !ok {
				continue
			}
			if layer := layerOf(folder); layer > own {
				t.Errorf("%s (%s) imports %s (%s)", file.path, layers[own].name, folder, layers[layer].name)
			}
		}
	}
}
