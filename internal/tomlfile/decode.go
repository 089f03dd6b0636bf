package tomlfile

import (
	"encoding"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// field describes one key of a declaration, by the tags of its struct field.
type field struct {
	index                           []int
	name, doc, preset, sample       string
	oneof                           []string
	needsRestart, secret, hasPreset bool
}

// fields returns the keys of a declaration in the order of its fields. The keys of an embedded struct are included.
func fields(t reflect.Type) []field {
	if out, ok := declarations.Load(t); ok {
		return out.([]field)
	}
	out := readFields(t)
	declarations.Store(t, out)
	return out
}

// declarations caches the result of fields by type.
var declarations sync.Map

func readFields(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name := tag.Get("toml")
		if t.Field(i).Anonymous && name == "" {
			for _, f := range fields(t.Field(i).Type) {
				f.index = append([]int{i}, f.index...) // a new slice, because the embedded type's fields are cached
				out = append(out, f)
			}
			continue
		}
		if name == "" || name == "-" {
			continue
		}
		f := field{index: []int{i}, name: name, doc: tag.Get("doc"), sample: tag.Get("sample"),
			needsRestart: tag.Get("reload") == "start", secret: tag.Get("secret") != ""}
		f.preset, f.hasPreset = tag.Lookup("default")
		if words := tag.Get("oneof"); words != "" {
			f.oneof = strings.Split(words, "|")
		}
		out = append(out, f)
	}
	return out
}

var unmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func isText(t reflect.Type) bool { return reflect.PointerTo(t).Implements(unmarshaler) }

// isTable reports whether a type is a table or an array of tables.
func isTable(t reflect.Type) (table, array bool) {
	if t.Kind() == reflect.Slice {
		inner, _ := isTable(t.Elem())
		return false, inner
	}
	return t.Kind() == reflect.Struct && !isText(t), false
}

// setDefaults sets the defaults of the tags. It panics if a default is not a value of its field, which is a programming error.
func setDefaults(v reflect.Value) {
	for _, f := range fields(v.Type()) {
		fv := v.FieldByIndex(f.index)
		if table, _ := isTable(fv.Type()); table {
			setDefaults(fv)
		} else if f.hasPreset {
			if err := setPreset(fv, f.preset); err != nil {
				panic(fmt.Sprintf("declaration %v.%s: default %q: %v", v.Type(), f.name, f.preset, err))
			}
		}
	}
}

func setPreset(v reflect.Value, text string) error {
	var raw any = text
	switch {
	case isText(v.Type()):
	case v.Kind() == reflect.Slice:
		list := []any{}
		for word := range strings.SplitSeq(text, ",") {
			if word = strings.TrimSpace(word); word != "" {
				list = append(list, word)
			}
		}
		raw = list
	case v.Kind() == reflect.Bool:
		raw = text == "true"
	case v.Kind() == reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return err
		}
		raw = n
	case v.Kind() == reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		raw = n
	}
	problem := ""
	set(v, raw, func(format string, args ...any) { problem = fmt.Sprintf(format, args...) })
	if problem != "" {
		return fmt.Errorf("%s", problem)
	}
	return nil
}

// table decodes one table, and calls its Check if it has one.
func (d *Document) table(path string, tree map[string]any, v reflect.Value) {
	declared := fields(v.Type())
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		i := slices.IndexFunc(declared, func(f field) bool { return f.name == key })
		at := join(path, key)
		if i < 0 {
			d.Report(at, "no such key%s", nearest(key, declared))
			continue
		}
		d.field(at, tree[key], declared[i], v.FieldByIndex(declared[i].index))
	}
	if c, ok := v.Addr().Interface().(Checker); ok {
		c.Check(func(key, format string, args ...any) {
			at := path
			if key != "" {
				at = join(path, key)
			}
			d.Report(at, format, args...)
		})
	}
}

func (d *Document) field(at string, raw any, f field, v reflect.Value) {
	switch table, array := isTable(v.Type()); {
	case table:
		if tree, ok := raw.(map[string]any); ok {
			d.table(at, tree, v)
		} else {
			d.Report(at, "is %s, and not a table", kind(raw))
		}
	case array:
		list, ok := raw.([]any)
		if !ok {
			d.Report(at, "is %s, and not an array of tables: [[%s]]", kind(raw), f.name)
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
		for i, item := range list {
			setDefaults(v.Index(i))
			itemPath := fmt.Sprintf("%s[%d]", at, i)
			if tree, ok := item.(map[string]any); ok {
				d.table(itemPath, tree, v.Index(i))
			} else {
				d.Report(itemPath, "is %s, and not a table", kind(item))
			}
		}
	default:
		set(v, raw, func(format string, args ...any) { d.Report(at, format, args...) })
		d.checkOneOf(at, f, v)
	}
}

// checkOneOf reports a string, or strings of a list, that are not among the values in the oneof tag.
func (d *Document) checkOneOf(at string, f field, v reflect.Value) {
	if f.oneof == nil {
		return
	}
	values := []string{}
	if v.Kind() == reflect.String {
		values = append(values, v.String())
	} else if list, ok := v.Interface().([]string); ok {
		values = list
	}
	for _, word := range values {
		if !slices.Contains(f.oneof, word) {
			d.Report(at, "%q is none of %s", word, strings.Join(f.oneof, ", "))
		}
	}
}

// set stores a decoded value in a field that is not a table.
func set(v reflect.Value, raw any, report reporter) {
	if isText(v.Type()) {
		setText(v, raw, report)
		return
	}
	stored := false
	switch v.Kind() {
	case reflect.String:
		var text string
		if text, stored = raw.(string); stored {
			v.SetString(text)
		}
	case reflect.Bool:
		var on bool
		if on, stored = raw.(bool); stored {
			v.SetBool(on)
		}
	case reflect.Int:
		stored = setInt(v, raw, report)
	case reflect.Float64:
		stored = setFloat(v, raw, report)
	case reflect.Slice:
		stored = setSlice(v, raw, report)
	case reflect.Map:
		stored = setMap(v, raw, report)
	}
	if !stored {
		report("is %s, and not %s", kind(raw), wanted(v.Type()))
	}
}

// reporter reports what is wrong with a value.
type reporter func(format string, args ...any)

func setText(v reflect.Value, raw any, report reporter) {
	text, ok := raw.(string)
	if !ok {
		report("is %s, and not a string", kind(raw))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		report("%v", err)
	}
}

// setInt stores an integer of 32 bits, and returns whether the value is an integer. The functions below do the same for their types.
func setInt(v reflect.Value, raw any, report reporter) bool {
	n, ok := raw.(int64)
	if !ok {
		return false
	}
	if n < math.MinInt32 || n > math.MaxInt32 {
		report("%d is out of range", n)
	}
	v.SetInt(n)
	return true
}

func setFloat(v reflect.Value, raw any, report reporter) bool {
	switch n := raw.(type) {
	case int64:
		v.SetFloat(float64(n))
		return true
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			report("%v is not a finite number", n)
		}
		v.SetFloat(n)
		return true
	}
	return false
}

func setSlice(v reflect.Value, raw any, report reporter) bool {
	list, ok := raw.([]any)
	if !ok {
		return false
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, item := range list {
		set(v.Index(i), item, func(format string, args ...any) {
			report("item %d: %s", i+1, fmt.Sprintf(format, args...))
		})
	}
	return true
}

func setMap(v reflect.Value, raw any, report reporter) bool {
	table, ok := raw.(map[string]any)
	if !ok {
		return false
	}
	texts := map[string]string{}
	for key, item := range table {
		text, ok := item.(string)
		if !ok {
			report("%s is %s, and not a string", key, kind(item))
		}
		texts[key] = text
	}
	v.Set(reflect.ValueOf(texts))
	return true
}

// wanted returns a description of the TOML type of a field.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	case reflect.Map:
		return "a table of strings"
	}
	return t.String()
}

func kind(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// maxCompared is the maximum length of the texts that distance compares, in bytes.
const maxCompared = 64

// nearest returns a text that names the declared key most similar to an unknown one. It is empty if none is similar.
func nearest(key string, declared []field) string {
	best, least := "", 1+len(key)/3
	for _, f := range declared {
		if n := distance(strings.ToLower(key), f.name); n <= least {
			best, least = f.name, n-1
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; the nearest is %q", best)
}

// distance returns the optimal string alignment distance of two texts: how many bytes have to be inserted, deleted, replaced or swapped with
// the next one. It takes O(len(a) len(b)) steps. Texts longer than maxCompared count as entirely different.
func distance(a, b string) int {
	if len(a) > maxCompared || len(b) > maxCompared {
		return len(a) + len(b)
	}
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}
