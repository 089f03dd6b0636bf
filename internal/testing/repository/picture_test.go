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
	pictureBegin     = "<!-- picture: begin -->\n"
	pictureEnd       = "<!-- picture: end -->\n"
	// drawVariable is the environment variable that lets the test write the picture into the page:
	//
	//	ORCHIDDRIFT_DRAW=1 go test -run Picture ./internal/testing/repository
	drawVariable = "ORCHIDDRIFT_DRAW"
)

// family is the folder by which the picture shows a package: a family's own, without the packages below.
func family(folder string) string {
	parts := strings.Split(folder, "/")
	if parts[0] != "internal" {
		return folder
	}
	return parts[1]
}

// picture draws which family imports which as a Mermaid graph, the layers from the top down. Helpers of the lowest layer are left out, since
// nearly all packages use them.
func picture(files []sourceFile) string {
	members := make([]map[string]bool, len(layers))
	for i := range members {
		members[i] = map[string]bool{}
	}
	layerOfFamily := map[string]int{}
	for _, file := range files {
		name := family(file.folder)
		layerOfFamily[name] = max(layerOfFamily[name], layerOf(file.folder))
	}
	edges := map[string]bool{}
	for _, file := range files {
		from := family(file.folder)
		if layerOfFamily[from] == 0 {
			continue
		}
		members[layerOfFamily[from]][from] = true
		for _, imported := range file.imports {
			folder, ok := strings.CutPrefix(imported, module+"/")
			if !ok {
				continue
			}
			to := family(folder)
			if to != from && layerOfFamily[to] != 0 {
				edges[fmt.Sprintf("  %s --> %s\n", node(from), node(to))] = true
			}
		}
	}
	var out strings.Builder
	out.WriteString("```mermaid\ngraph TD\n")
	for i := len(layers) - 1; i > 0; i-- {
		if len(members[i]) == 0 {
			continue
		}
		fmt.Fprintf(&out, "  subgraph layer%d[\"%s\"]\n", i, layers[i].name)
		for _, name := range slices.Sorted(maps.Keys(members[i])) {
			fmt.Fprintf(&out, "    %s[\"%s\"]\n", node(name), name)
		}
		out.WriteString("  end\n")
	}
	for _, edge := range slices.Sorted(maps.Keys(edges)) {
		out.WriteString(edge)
	}
	out.WriteString("```\n")
	return out.String()
}

// node is a family's name as Mermaid takes it.
func node(name string) string { return strings.ReplaceAll(name, "/", "_") }

// The picture of the architecture page is the one that the imports draw.
func TestArchitecturePictureFollowsTheImports(t *testing.T) {
	files, _ := sources(t)
	path := filepath.Join(root, architecturePage)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(text), pictureBegin)
	drawn, after, ended := strings.Cut(rest, pictureEnd)
	if !found || !ended {
		t.Fatalf("%s has no place for the picture", architecturePage)
	}
	want := picture(files)
	if drawn == want {
		return
	}
	if os.Getenv(drawVariable) != "1" {
		t.Fatalf("the picture is not the imports': %s=1 go test -run Picture ./internal/testing/repository draws it\n%s", drawVariable, want)
	}
	if err := os.WriteFile(path, []byte(before+pictureBegin+want+pictureEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}
