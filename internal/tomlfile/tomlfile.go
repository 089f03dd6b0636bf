// Package tomlfile decodes a TOML text into declared structs and reports all problems in it, each with its line, column
// and key. The commented example, the effective text and the list of keys in which two texts differ are made from the
// same declarations, so that no key can lack its documentation.
//
// A declaration is a struct whose fields have the tags
//
//	toml:"name"      the key
//	doc:"..."        what it means, in a sentence or two; required
//	default:"..."    the default as it is written in TOML, without the quotes of a string; absent: the zero value
//	oneof:"a|b"      the values that a string may have; absent: any
//	sample:"..."     the value that the example shows if the default is empty, as it is written in TOML
//	reload:"start"   a change takes effect at the next start; absent: a reload applies it
//	secret:"yes"     the value is never shown
//
// Field types are string, bool, int, float64, types that implement encoding.TextUnmarshaler, slices of those, map[string]string,
// structs (tables) and slices of structs (arrays of tables). Once a declaration is decoded, its Check is called if it implements
// Checker. A declaration that embeds another one and has its own Check has to call the Check of the embedded declaration. The keys of
// an embedded struct are keys of the struct around it.
package tomlfile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one mistake in a text. Line and Column count from 1; they are 0 if the position is unknown.
type Problem struct {
	Line, Column int
	Key          string // full path, such as service[0].class[1].aim
	Reason       string
}

func (m Problem) Error() string {
	if m.Line == 0 {
		return m.Key + ": " + m.Reason
	}
	return fmt.Sprintf("%d:%d: %s: %s", m.Line, m.Column, m.Key, m.Reason)
}

// Checker is a declaration with checks beyond the types of its fields.
type Checker interface {
	// Check reports problems. key is the key of a field within the declaration, or empty for the declaration itself.
	Check(report func(key, format string, args ...any))
}

// Document is a decoded text with the positions of its keys and its problems.
type Document struct {
	text     []byte
	at       map[string]int // byte offsets of keys, by path
	problems []Problem
	seen     map[Problem]bool
	broken   bool
}

// Broken reports whether the text was not decoded at all, because it is not TOML or is too large.
func (d *Document) Broken() bool { return d.broken }

// MaxBytes is the largest text that is decoded.
const MaxBytes = 8 << 20

// Decode fills the declaration that into points to, with defaults for keys that the text does not have. The Document has the problems
// in the text. Valid values are set even if other values have problems.
func Decode(text []byte, into any) *Document {
	d := &Document{text: text, at: map[string]int{}, seen: map[Problem]bool{}}
	v := reflect.ValueOf(into).Elem()
	setDefaults(v)
	if len(text) > MaxBytes {
		d.broken = true
		d.Report("", "the file has %d bytes; the limit is %d", len(text), MaxBytes)
		return d
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		d.broken = true
		m := Problem{Line: 1, Column: 1, Key: "file", Reason: oneLine(err.Error())}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			m.Line, m.Column = de.Position()
			m.Key = cmp.Or(strings.Join(de.Key(), "."), "file")
			m.Reason = oneLine(strings.TrimPrefix(de.Error(), "toml: "))
		}
		d.problems = append(d.problems, m)
		return d
	}
	d.locate()
	d.table("", tree, v)
	return d
}

// Report adds a problem at the full path of a key. If the key is not in the text, its position is that of the nearest enclosing table.
func (d *Document) Report(path, format string, args ...any) {
	m := Problem{Key: cmp.Or(path, "file"), Reason: oneLine(fmt.Sprintf(format, args...))}
	m.Line, m.Column = d.position(path)
	if !d.seen[m] {
		d.seen[m] = true
		d.problems = append(d.problems, m)
	}
}

// Line returns the line of a key. If the key is not in the text, it returns the line of the nearest enclosing table, or 0 if there is
// none.
func (d *Document) Line(path string) int {
	line, _ := d.position(path)
	return line
}

// position returns the position of a key. If the key is not in the text, it returns the position of the nearest enclosing table, or 0,
// 0 if there is none. It scans the text, and is therefore only called for keys that are reported.
func (d *Document) position(path string) (line, column int) {
	for {
		if at, ok := d.at[path]; ok {
			before := d.text[:at]
			return 1 + bytes.Count(before, []byte("\n")), at - bytes.LastIndexByte(before, '\n')
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 0, 0
		}
		path = path[:i]
	}
}

// Has reports whether a key is in the text.
func (d *Document) Has(path string) bool {
	_, ok := d.at[path]
	return ok
}

// Problems returns all problems in the order of the text; those without a position come last.
func (d *Document) Problems() []Problem {
	out := slices.Clone(d.problems)
	line := func(m Problem) int { return (m.Line - 1) & (1<<31 - 1) }
	slices.SortStableFunc(out, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(line(a), line(b)), cmp.Compare(a.Column, b.Column))
	})
	return out
}

// locate records the position of each key. The text has been decoded before, so it is well-formed.
func (d *Document) locate() {
	var p unstable.Parser
	p.Reset(d.text)
	arrays := map[string]int{} // number of tables that each array has so far, by path
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = d.recordKey("", e.Key(), arrays)
		case unstable.ArrayTable:
			path := d.recordKey("", e.Key(), nil)
			path = withIndices(path, arrays, true)
			arrays[path]++
			table = fmt.Sprintf("%s[%d]", path, arrays[path]-1)
			d.at[table] = d.at[path]
		case unstable.KeyValue:
			d.recordKeyValue(table, e)
		}
	}
}

// withIndices adds to each array of tables in a path the index of its latest table. If exceptEnd is set, the last key
// of the path gets no index.
func withIndices(path string, arrays map[string]int, exceptEnd bool) string {
	out := ""
	parts := strings.Split(path, ".")
	for i, part := range parts {
		out = join(out, part)
		if n := arrays[out]; n > 0 && !(exceptEnd && i == len(parts)-1) {
			out = fmt.Sprintf("%s[%d]", out, n-1)
		}
	}
	return out
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// recordKey records the positions of a dotted key's parts and returns its path.
func (d *Document) recordKey(path string, it unstable.Iterator, arrays map[string]int) string {
	for it.Next() {
		path = join(path, string(it.Node().Data))
		if arrays != nil {
			path = withIndices(path, arrays, false)
		}
		if _, ok := d.at[path]; !ok || it.IsLast() {
			d.at[path] = int(it.Node().Raw.Offset)
		}
	}
	return path
}

func (d *Document) recordKeyValue(table string, e *unstable.Node) {
	path := d.recordKey(table, e.Key(), nil)
	d.recordValue(path, e.Value())
}

func (d *Document) recordValue(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			d.recordKeyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			if it.Node().Raw.Length > 0 {
				d.at[item] = int(it.Node().Raw.Offset)
			}
			d.recordValue(item, it.Node())
		}
	}
}

// oneLine returns a text as one line. Errors may quote several lines of the file.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Text returns problems as text, one per line, each after the name of the file.
func Text(name string, problems []Problem) string {
	var b bytes.Buffer
	for _, m := range problems {
		fmt.Fprintf(&b, "%s:%s\n", name, strings.TrimPrefix(m.Error(), ":"))
	}
	return b.String()
}
