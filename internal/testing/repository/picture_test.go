package repository

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	architecturePage = "docs/ARCHITECTURE.md"
	graphBegin       = "<!-- picture: begin -->\n"
	graphEnd         = "<!-- picture: end -->\n"
	// drawVariable is the environment variable with which the test writes the graph into the page:
	//
	//	ORCHIDDRIFT_DRAW=1 go test -run Picture ./internal/testing/repository
	drawVariable = "ORCHIDDRIFT_DRAW"
)

// packageGroup returns the name of the node that represents a package in the graph. All packages below a folder in internal form one group with
// the name of that folder. Outside internal, each package is its own group with its whole path as the name.
func packageGroup(folder string) string {
	parts := strings.Split(folder, "/")
	if parts[0] != "internal" {
		return folder
	}
	return parts[1]
}

// drawGraph returns the imports between package groups as a Mermaid graph, with the highest layer first. It omits the lowest layer, because
// nearly all packages import its helpers.
func drawGraph(files []sourceFile) string {
	groupsOfLayer := make([]map[string]bool, len(layers))
	for i := range groupsOfLayer {
		groupsOfLayer[i] = map[string]bool{}
	}
	layerOfGroup := map[string]int{}
	for _, file := range files {
		name := packageGroup(file.folder)
		layerOfGroup[name] = max(layerOfGroup[name], layerOf(file.folder))
	}
	edges := map[string]bool{}
	for _, file := range files {
		from := packageGroup(file.folder)
		if layerOfGroup[from] == 0 {
			continue
		}
		groupsOfLayer[layerOfGroup[from]][from] = true
		for _, imported := range file.imports {
			folder, ok := strings.CutPrefix(imported, module+"/")
			if !ok {
				continue
			}
			to := packageGroup(folder)
			if to != from && layerOfGroup[to] != 0 {
				edges[fmt.Sprintf("  %s --> %s\n", nodeID(from), nodeID(to))] = true
			}
		}
	}
	var out strings.Builder
	out.WriteString("```mermaid\ngraph TD\n")
	for i := len(layers) - 1; i > 0; i-- {
		if len(groupsOfLayer[i]) == 0 {
			continue
		}
		fmt.Fprintf(&out, "  subgraph layer%d[\"%s\"]\n", i, layers[i].name)
		for _, name := range slices.Sorted(maps.Keys(groupsOfLayer[i])) {
			fmt.Fprintf(&out, "    %s[\"%s\"]\n", nodeID(name), name)
		}
		out.WriteString("  end\n")
	}
	for _, edge := range slices.Sorted(maps.Keys(edges)) {
		out.WriteString(edge)
	}
	out.WriteString("```\n")
	return out.String()
}

// nodeID returns the Mermaid node ID of a package group.
func nodeID(name string) string { return strings.ReplaceAll(name, "/", "_") }

// Guards against an outdated import graph on the architecture page: the graph must equal the one that drawGraph returns.
func TestArchitecturePictureFollowsTheImports(t *testing.T) {
	files, _ := sources(t)
	path := filepath.Join(root, architecturePage)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(text), graphBegin)
	drawn, after, ended := strings.Cut(rest, graphEnd)
	if !found || !ended {
		t.Fatalf("%s lacks the begin or end marker of the import graph", architecturePage)
	}
	want := drawGraph(files)
	if drawn == want {
		return
	}
	if os.Getenv(drawVariable) != "1" {
		t.Fatalf("the graph on the architecture page differs from the imports; update it with %s=1 go test -run Picture ./internal/testing/repository\n%s", drawVariable, want)
	}
	if err := os.WriteFile(path, []byte(before+graphBegin+want+graphEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}
