package repository

import (
	"go/ast"
	"slices"
	"strings"
	"testing"
)

// decisionPackages are the packages that contain deterministic decisions only. They take events and times and return actions, so that the same
// code runs in production, in tests and in simulations.
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

// forbiddenImports are packages of the standard library with which a decision package could do I/O or run concurrently with its caller.
var forbiddenImports = []string{"context", "io", "net", "net/http", "os", "os/exec", "sync", "sync/atomic", "syscall"}

// clockFunctions are the functions of package time that read the clock or wait.
var clockFunctions = []string{"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Until"}

// Guards against decision packages whose results are not reproducible: they must not do I/O, read the clock or start goroutines.
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
				t.Errorf("%s imports %s, which decision packages must not import", file.path, imported)
			}
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s: decision package starts a goroutine", fileset.Position(node.Pos()))
			case *ast.SelectorExpr:
				if of, ok := node.X.(*ast.Ident); ok && of.Name == "time" && slices.Contains(clockFunctions, node.Sel.Name) {
					t.Errorf("%s: decision package uses time.%s, which reads the clock or waits", fileset.Position(node.Pos()), node.Sel.Name)
				}
			}
			return true
		})
	}
	for _, folder := range decisionPackages {
		if !seen[folder] {
			t.Errorf("decision package %s has no source files", folder)
		}
	}
}

// layers lists the layers of packages, from the lowest to the highest. A folder includes the folders below it, unless they are listed separately.
// A package may import packages of its own layer and of lower layers.
var layers = []struct {
	name    string
	folders []string
}{
	{"values and helpers", []string{"internal/units", "internal/clock", "internal/priorityqueue", "internal/httpheader", "internal/tomlfile",
		"internal/boltfile", "internal/filewatch", "internal/residentmemory", "internal/logging", "internal/metrics", "internal/bulkhead", "internal/server/framing",
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

// layerOf returns the index of a package's layer, or -1 if no layer contains the package. If several layers match, the one with the longest listed
// folder counts.
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

// Guards against packages that import a package of a higher layer.
func TestImportsPointDown(t *testing.T) {
	files, _ := sources(t)
	for _, file := range files {
		own := layerOf(file.folder)
		if own < 0 {
			t.Errorf("package %s is not listed in layers", file.folder)
			continue
		}
		for _, imported := range file.imports {
			folder, ok := strings.CutPrefix(imported, module+"/")
			if !ok {
				continue
			}
			if layer := layerOf(folder); layer > own {
				t.Errorf("%s (layer: %s) imports %s of a higher layer (%s)", file.path, layers[own].name, folder, layers[layer].name)
			}
		}
	}
}
