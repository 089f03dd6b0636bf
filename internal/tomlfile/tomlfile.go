// Package tomlfile decodes a TOML text into declared structs and says all that is wrong with it, each mistake with
// line, column and key. The same declarations make the commented example, the effective text and the list of keys that
// two texts differ in, so that no key can lack its documentation.
//
// A declaration is a struct whose fields have the tags
//
//	toml:"name"      the key
//	doc:"..."        what it means, in a sentence or two; required
//	default:"..."    as it would be written in TOML, without the quotes of a string; absent: the zero value
//	oneof:"a|b"      the words that a string may be; absent: any
//	sample:"..."     what the example shows where the default is empty, as written in TOML
//	reload:"start"   a change counts from the next start; absent: it is applied by a reload
//	secret:"yes"     the value is never shown
//
// Field types are string, bool, int, float64, types that implement encoding.TextUnmarshaler, slices of those,
// map[string]string, structs (tables) and slices of structs (arrays of tables). A declaration that implements Checker
// is asked for what else is wrong once it is decoded; one that embeds another and has a Check of its own calls that
// one's. The keys of an embedded struct count as its own.
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

// Problem is one mistake. Line and Column count from 1; they are 0 where no place is known, as of a missing key.
type Problem struct {
	Line, Column int
	Key          string // its whole path: service[0].class[1].aim
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
	// Check reports what is wrong. key is the field's key within the declaration, "" for the whole of it.
	Check(report func(key, format string, args ...any))
}

// Document is a decoded text with the places of its keys and its mistakes.
type Document struct {
	text     []byte
	at       map[string]int // by path: where in the text
	mistakes []Problem
	seen     map[Problem]bool
	broken   bool
}

// Broken reports whether the text is no TOML, so that nothing of it was read.
func (d *Document) Broken() bool { return d.broken }

// MaxBytes is the largest text that is decoded.
const MaxBytes = 8 << 20

// Decode fills a pointer to a declaration, with defaults where the text has no key. The Document tells what is wrong
// with the text; what could be read has been filled in all the same.
func Decode(text []byte, into any) *Document {
	d := &Document{text: text, at: map[string]int{}, seen: map[Problem]bool{}}
	v := reflect.ValueOf(into).Elem()
	setDefaults(v)
	if len(text) > MaxBytes {
		d.broken = true
		d.Report("", "the file has %d bytes, %d at most", len(text), MaxBytes)
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
		d.mistakes = append(d.mistakes, m)
		return d
	}
	d.locate()
	d.table("", tree, v)
	return d
}

// Report adds a mistake at the full path of a key. If the key is not in the text, its place is that of the nearest enclosing table.
func (d *Document) Report(path, format string, args ...any) {
	m := Problem{Key: cmp.Or(path, "file"), Reason: oneLine(fmt.Sprintf(format, args...))}
	m.Line, m.Column = d.position(path)
	if !d.seen[m] {
		d.seen[m] = true
		d.mistakes = append(d.mistakes, m)
	}
}

// Line returns the line of a key, or else of the nearest enclosing table; 0: there is none.
func (d *Document) Line(path string) int {
	line, _ := d.position(path)
	return line
}

// position is where a key stands, or the nearest table round it; 0, 0: nowhere. It counts through the text: only what is
// reported is worth that.
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

// Problems returns all mistakes in the order of the text; those without a place come last.
func (d *Document) Problems() []Problem {
	out := slices.Clone(d.mistakes)
	line := func(m Problem) int { return (m.Line - 1) & (1<<31 - 1) }
	slices.SortStableFunc(out, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(line(a), line(b)), cmp.Compare(a.Column, b.Column))
	})
	return out
}

// locate records the place of each key. The text has been decoded before, so it is well formed.
func (d *Document) locate() {
	var p unstable.Parser
	p.Reset(d.text)
	arrays := map[string]int{} // how many tables each array has so far, by path
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = d.keys("", e.Key(), arrays)
		case unstable.ArrayTable:
			path := d.keys("", e.Key(), nil)
			path = last(path, arrays, true)
			arrays[path]++
			table = fmt.Sprintf("%s[%d]", path, arrays[path]-1)
			d.at[table] = d.at[path]
		case unstable.KeyValue:
			d.keyValue(table, e)
		}
	}
}

// last replaces each array of tables on the way by its latest table; with but, not the path's own end.
func last(path string, arrays map[string]int, but bool) string {
	out := ""
	parts := strings.Split(path, ".")
	for i, part := range parts {
		out = join(out, part)
		if n := arrays[out]; n > 0 && !(but && i == len(parts)-1) {
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

// keys notes a dotted key and returns its path.
func (d *Document) keys(path string, it unstable.Iterator, arrays map[string]int) string {
	for it.Next() {
		path = join(path, string(it.Node().Data))
		if arrays != nil {
			path = last(path, arrays, false)
		}
		if _, ok := d.at[path]; !ok || it.IsLast() {
			d.at[path] = int(it.Node().Raw.Offset)
		}
	}
	return path
}

func (d *Document) keyValue(table string, e *unstable.Node) {
	path := d.keys(table, e.Key(), nil)
	d.value(path, e.Value())
}

func (d *Document) value(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			d.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			of := fmt.Sprintf("%s[%d]", path, i)
			if it.Node().Raw.Length > 0 {
				d.at[of] = int(it.Node().Raw.Offset)
			}
			d.value(of, it.Node())
		}
	}
}

// oneLine returns a text as one line. It may quote lines of the file.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Text writes Mistakes one a line, each behind the file's name.
func Text(name string, mistakes []Problem) string {
	var b bytes.Buffer
	for _, m := range mistakes {
		fmt.Fprintf(&b, "%s:%s\n", name, strings.TrimPrefix(m.Error(), ":"))
	}
	return b.String()
}
