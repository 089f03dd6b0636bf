package tomlfile

import (
	"encoding"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

const (
	commentWidth = 110 // maximum line length of the example's comments
	// Hidden is shown in place of a secret's value.
	Hidden = "(secret)"
)

// Example writes a declaration as a commented text with every key and its default. Keys with an empty default, and
// arrays of tables, are commented out, so that the text decodes to the defaults.
func Example(w io.Writer, declaration any) error {
	out := &writer{}
	out.example("", reflect.TypeOf(declaration), false)
	_, err := io.WriteString(w, strings.TrimLeft(out.String(), "\n"))
	return err
}

// Show writes a decoded declaration as TOML with all of its values, but without secrets.
func Show(w io.Writer, declared any) error {
	out := &writer{}
	out.show("", reflect.Indirect(reflect.ValueOf(declared)))
	_, err := io.WriteString(w, strings.TrimLeft(out.String(), "\n"))
	return err
}

// Undocumented returns the keys of a declaration that have no doc tag.
func Undocumented(declaration any) []string {
	var missing []string
	var walk func(path string, t reflect.Type)
	walk = func(path string, t reflect.Type) {
		for _, f := range fields(t) {
			at, ft := join(path, f.name), t.FieldByIndex(f.index).Type
			if f.doc == "" {
				missing = append(missing, at)
			}
			if table, array := isTable(ft); table {
				walk(at, ft)
			} else if array {
				walk(at, ft.Elem())
			}
		}
	}
	walk("", reflect.TypeOf(declaration))
	return missing
}

type writer struct{ strings.Builder }

func (w *writer) comment(text string, commented bool) {
	line := "#"
	if commented {
		line = "##"
	}
	prefix := line
	for word := range strings.FieldsSeq(text) {
		if len(line)+1+len(word) > commentWidth {
			fmt.Fprintln(w, line)
			line = prefix
		}
		line += " " + word
	}
	fmt.Fprintln(w, line)
}

// example writes a table's keys, and after them the tables within it, in the order that TOML requires.
func (w *writer) example(path string, t reflect.Type, commented bool) {
	prefix := ""
	if commented {
		prefix = "#"
	}
	v := reflect.New(t).Elem()
	setDefaults(v)
	for _, f := range fields(t) {
		if table, array := isTable(t.FieldByIndex(f.index).Type); table || array {
			continue
		}
		fmt.Fprintln(w)
		doc := f.doc
		if f.oneof != nil {
			doc += " One of " + strings.Join(f.oneof, ", ") + "."
		}
		if f.needsRestart {
			doc += " A change takes effect at the next start."
		}
		w.comment(doc, commented)
		value := literal(v.FieldByIndex(f.index))
		switch {
		case commented && f.sample != "":
			value = f.sample
		case f.sample != "" && v.FieldByIndex(f.index).IsZero():
			fmt.Fprintf(w, "#%s = %s\n", f.name, f.sample)
			continue
		}
		fmt.Fprintf(w, "%s%s = %s\n", prefix, f.name, value)
	}
	for _, f := range fields(t) {
		at, ft := join(path, f.name), t.FieldByIndex(f.index).Type
		switch table, array := isTable(ft); {
		case table:
			fmt.Fprintln(w)
			w.comment(f.doc, commented)
			fmt.Fprintf(w, "%s[%s]\n", prefix, at)
			w.example(at, ft, commented)
		case array:
			fmt.Fprintln(w)
			w.comment(f.doc, true)
			fmt.Fprintf(w, "#[[%s]]\n", at)
			w.example(at, ft.Elem(), true)
		}
	}
}

func (w *writer) show(path string, v reflect.Value) {
	for _, f := range fields(v.Type()) {
		fv := v.FieldByIndex(f.index)
		if table, array := isTable(fv.Type()); table || array {
			continue
		}
		value := literal(fv)
		if f.secret && !fv.IsZero() {
			value = strconv.Quote(Hidden)
		}
		fmt.Fprintf(w, "%s = %s\n", f.name, value)
	}
	for _, f := range fields(v.Type()) {
		at, fv := join(path, f.name), v.FieldByIndex(f.index)
		switch table, array := isTable(fv.Type()); {
		case table:
			fmt.Fprintf(w, "\n[%s]\n", at)
			w.show(at, fv)
		case array:
			for i := range fv.Len() {
				fmt.Fprintf(w, "\n[[%s]]\n", at)
				w.show(at, fv.Index(i))
			}
		}
	}
}

// literal returns a value that is not a table in TOML syntax.
func literal(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err != nil {
			return `""`
		}
		return quote(string(text))
	}
	switch v.Kind() {
	case reflect.String:
		return quote(v.String())
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = literal(v.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.Map:
		m := v.Interface().(map[string]string)
		items := []string{}
		for _, key := range slices.Sorted(maps.Keys(m)) {
			items = append(items, quote(key)+" = "+quote(m[key]))
		}
		return "{" + strings.Join(items, ", ") + "}"
	case reflect.Float64:
		text := strconv.FormatFloat(v.Float(), 'f', -1, 64)
		if !strings.Contains(text, ".") {
			text += ".0"
		}
		return text
	}
	return fmt.Sprint(v.Interface())
}

// quote returns a text as a basic string of TOML.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// Change is a key in which two decoded texts differ.
type Change struct {
	Key          string
	NeedsRestart bool // the change takes effect at the next start
}

// Diff lists the keys in which two values of one declaration differ. The tables of an array are identified by their key
// "name" if they have one, and by their index otherwise.
func Diff(was, now any) []Change {
	var out []Change
	diff("", reflect.Indirect(reflect.ValueOf(was)), reflect.Indirect(reflect.ValueOf(now)), false, &out)
	return out
}

func diff(path string, a, b reflect.Value, needsRestart bool, out *[]Change) {
	for _, f := range fields(a.Type()) {
		at, av, bv, restart := join(path, f.name), a.FieldByIndex(f.index), b.FieldByIndex(f.index), needsRestart || f.needsRestart
		switch table, array := isTable(av.Type()); {
		case table:
			diff(at, av, bv, restart, out)
		case array:
			diffArray(at, av, bv, restart, out)
		case !reflect.DeepEqual(av.Interface(), bv.Interface()):
			*out = append(*out, Change{at, restart})
		}
	}
}

func diffArray(at string, a, b reflect.Value, needsRestart bool, out *[]Change) {
	name := func(v reflect.Value, i int) string {
		for _, f := range fields(v.Type().Elem()) {
			if f.name == "name" && v.Index(i).FieldByIndex(f.index).Kind() == reflect.String {
				return v.Index(i).FieldByIndex(f.index).String()
			}
		}
		return strconv.Itoa(i)
	}
	later := map[string]reflect.Value{}
	for i := range b.Len() {
		later[name(b, i)] = b.Index(i)
	}
	for i := range a.Len() {
		key := name(a, i)
		if counterpart, ok := later[key]; ok {
			diff(fmt.Sprintf("%s[%s]", at, key), a.Index(i), counterpart, needsRestart, out)
		} else {
			*out = append(*out, Change{fmt.Sprintf("%s[%s]", at, key), needsRestart})
		}
		delete(later, key)
	}
	for _, key := range slices.Sorted(maps.Keys(later)) {
		*out = append(*out, Change{fmt.Sprintf("%s[%s]", at, key), needsRestart})
	}
}
