package configuration

import (
	"fmt"
	"reflect"
	"slices"

	"lagoonlink.org/rollout"
)

// Change is one difference between two configurations.
type Change struct {
	// Path names the field; entries of lists are named by their Name.
	Path string
	// Old and New are empty where the field is absent.
	Old string
	New string
}

// Diff returns the differences from one configuration to another, by path.
func Diff(old, next rollout.Configuration) []Change {
	before, after := map[string]string{}, map[string]string{}
	flatten("", reflect.ValueOf(old), before)
	flatten("", reflect.ValueOf(next), after)
	var paths []string
	for path := range before {
		paths = append(paths, path)
	}
	for path := range after {
		if _, both := before[path]; !both {
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

// flatten writes the leaves of a value by path.
func flatten(path string, v reflect.Value, into map[string]string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			flatten(join(path, v.Type().Field(i).Name), v.Field(i), into)
		}
	case reflect.Slice:
		for i := range v.Len() {
			flatten(fmt.Sprintf("%s[%s]", path, entryName(v.Index(i), i)), v.Index(i), into)
		}
	default:
		if !v.IsZero() {
			into[path] = fmt.Sprint(v.Interface())
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entryName names a list's entry by its Name, by itself, or by its position.
func entryName(v reflect.Value, position int) string {
	if v.Kind() == reflect.Struct {
		if name := v.FieldByName("Name"); name.IsValid() {
			return fmt.Sprint(name.Interface())
		}
		return fmt.Sprint(position)
	}
	return fmt.Sprint(v.Interface())
}
