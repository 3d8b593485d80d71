package configuration

import (
	"fmt"
	"reflect"
	"slices"

	"lagoonlink.org/rollout"
)

// Change is the difference between two configurations in one field.
type Change struct {
	// Path is the path of the field; an entry of a list is identified by its Name
	// if it has one.
	Path string
	// Old and New are the values as text, empty where the field is absent or zero.
	Old string
	New string
}

// Diff returns the differences between two configurations, sorted by path.
func Diff(old, next rollout.Configuration) []Change {
	before, after := map[string]string{}, map[string]string{}
	flatten("", reflect.ValueOf(old), before)
	flatten("", reflect.ValueOf(next), after)
	var paths []string
	for path := range before {
		paths = append(paths, path)
	}
	for path := range after {
		if _, seen := before[path]; !seen {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var out []Change
	for _, path := range paths {
		if before[path] != after[path] {
			out = append(out, Change{Path: path, Old: before[path], New: after[path]})
		}
	}
	return out
}

// flatten stores the non-zero leaves of a value as text, keyed by path.
func flatten(path string, v reflect.Value, leaves map[string]string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			flatten(joinPath(path, v.Type().Field(i).Name), v.Field(i), leaves)
		}
	case reflect.Slice:
		for i := range v.Len() {
			flatten(fmt.Sprintf("%s[%s]", path, entryName(v.Index(i), i)), v.Index(i), leaves)
		}
	default:
		if !v.IsZero() {
			leaves[path] = fmt.Sprint(v.Interface())
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entryName returns the identifier of a list entry in a path: its Name field or
// its index for a struct, its value otherwise.
func entryName(v reflect.Value, index int) string {
	if v.Kind() == reflect.Struct {
		if name := v.FieldByName("Name"); name.IsValid() {
			return fmt.Sprint(name.Interface())
		}
		return fmt.Sprint(index)
	}
	return fmt.Sprint(v.Interface())
}
