package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// EnvironmentPrefix begins the names of variables that override settings.
const EnvironmentPrefix = "LAGOONLINK_"

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Sources says where settings come from, in rising precedence.
type Sources struct {
	// File is a path; empty reads none.
	File string
	// Environment is in the form of os.Environ.
	Environment []string
	// Sets are "Path=Value" overrides from flags.
	Sets []string
}

// Load reads and checks settings.
func Load(from Sources) (Settings, error) {
	s := Defaults()
	if from.File != "" {
		if err := readFile(from.File, &s); err != nil {
			return Settings{}, err
		}
	}
	if err := overrideFromEnvironment(&s, from.Environment); err != nil {
		return Settings{}, err
	}
	for _, set := range from.Sets {
		path, value, ok := strings.Cut(set, "=")
		if !ok {
			return Settings{}, fmt.Errorf("--set %s: expected Path=Value", set)
		}
		if err := override(&s, path, value); err != nil {
			return Settings{}, fmt.Errorf("--set %s: %w", set, err)
		}
	}
	if err := s.Check(); err != nil {
		return Settings{}, inFile(from.File, err)
	}
	return s, nil
}

func readFile(file string, into *Settings) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if len(data) > maxFileBytes {
		return fmt.Errorf("%s: got %d bytes, expected at most %d", file, len(data), maxFileBytes)
	}
	return inFile(file, Decode(data, into))
}

// inFile puts the file's name before each line of an error.
func inFile(file string, err error) error {
	if err == nil || file == "" {
		return err
	}
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		lines[i] = file + ": " + lines[i]
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Decode reads YAML over settings, and refuses what it does not know.
func Decode(data []byte, into *Settings) error {
	err := yaml.UnmarshalWithOptions(data, into, yaml.Strict())
	var located yaml.Error
	if errors.As(err, &located) {
		at := located.GetToken().Position
		return fmt.Errorf("line %d, column %d: %s", at.Line, at.Column, located.GetMessage())
	}
	if err != nil {
		return fmt.Errorf("%w%s", err, hint(data, err))
	}
	return nil
}

// hint finds the line of a value that an error quotes, where the decoder does
// not tell it.
func hint(data []byte, err error) string {
	_, quoted, found := strings.Cut(err.Error(), `"`)
	value, _, closed := strings.Cut(quoted, `"`)
	if !found || !closed {
		return ""
	}
	for i, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, value) {
			return fmt.Sprintf(" (line %d: %s)", i+1, strings.TrimSpace(line))
		}
	}
	return ""
}

func overrideFromEnvironment(s *Settings, environment []string) error {
	names := map[string]string{}
	for _, l := range Leaves() {
		names[EnvironmentName(l.Path)] = l.Path
	}
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) {
			continue
		}
		path, known := names[name]
		if !known {
			return fmt.Errorf("environment variable %s: there is no such setting", name)
		}
		if err := override(s, path, value); err != nil {
			return fmt.Errorf("environment variable %s: %w", name, err)
		}
	}
	return nil
}

// EnvironmentName returns the variable that overrides the setting at a path.
func EnvironmentName(path string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(path, ".", "_"))
}

func override(s *Settings, path, value string) error {
	field := reflect.ValueOf(s).Elem()
	for part := range strings.SplitSeq(path, ".") {
		if field.Kind() != reflect.Struct {
			return errors.New("there is no such setting")
		}
		field = field.FieldByName(part)
		if !field.IsValid() {
			return errors.New("there is no such setting")
		}
	}
	return assign(field, value)
}

func assign(field reflect.Value, value string) error {
	switch v := field.Addr().Interface().(type) {
	case *string:
		*v = value
	case *[]string:
		*v = strings.Split(value, ",")
	case *int:
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("got %q, expected a whole number", value)
		}
		*v = n
	case *bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("got %q, expected true or false", value)
		}
		*v = b
	case *time.Duration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("got %q, expected a duration such as 5s", value)
		}
		*v = d
	default:
		return errors.New("this setting can't be overridden as a whole")
	}
	return nil
}

// Leaf is one setting.
type Leaf struct {
	Path    string
	Doc     string
	Default string
	Type    string
}

// Leaves returns every setting in the order of the file.
func Leaves() []Leaf {
	d := Defaults()
	return leaves("", reflect.ValueOf(d))
}

func leaves(prefix string, v reflect.Value) []Leaf {
	var out []Leaf
	for i := range v.NumField() {
		f := v.Type().Field(i)
		path := strings.TrimPrefix(prefix+"."+f.Name, ".")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, leaves(path, v.Field(i))...)
			continue
		}
		out = append(out, Leaf{Path: path, Doc: f.Tag.Get("doc"), Default: text(v.Field(i)), Type: typeName(f.Type)})
	}
	return out
}

func text(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []string:
		return "[" + strings.Join(x, ", ") + "]"
	case string:
		return strconv.Quote(x)
	default:
		return fmt.Sprint(x)
	}
}

func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return "duration"
	case reflect.TypeFor[[]string]():
		return "list of texts"
	case reflect.TypeFor[string]():
		return "text"
	case reflect.TypeFor[int]():
		return "whole number"
	}
	return t.String()
}

// PrintDefaults returns a commented settings file with the defaults.
func PrintDefaults() string {
	var b strings.Builder
	section := ""
	for _, l := range Leaves() {
		group, name, _ := strings.Cut(l.Path, ".")
		if group != section {
			section = group
			fmt.Fprintf(&b, "%s:\n", group)
		}
		fmt.Fprintf(&b, "  # %s\n  %s: %s\n", l.Doc, name, l.Default)
	}
	return b.String()
}

// Markdown returns the page that documents the settings.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry VM\n\nGenerated from package settings; `make docs` writes it again.\n")
	b.WriteString("A file overrides the defaults, the environment overrides the file, `--set Path=Value` overrides both.\n\n")
	b.WriteString("| Setting | Type | Default | Variable | Meaning |\n|---|---|---|---|---|\n")
	for _, l := range Leaves() {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | `%s` | %s |\n", l.Path, l.Type, l.Default, EnvironmentName(l.Path), l.Doc)
	}
	return b.String()
}
