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

// EnvironmentPrefix is the prefix of the environment variables that override settings.
const EnvironmentPrefix = "LAGOONLINK_"

// maxFileBytes is the largest settings file that is read.
const maxFileBytes = 1 << 20

// Sources lists where settings come from, lowest precedence first.
type Sources struct {
	// File is the path of a YAML file; if empty, no file is read.
	File string
	// Environment holds variables in the form of os.Environ.
	Environment []string
	// Overrides holds the "Path=Value" arguments of --set flags.
	Overrides []string
}

// Load reads settings from all sources, over the defaults, and checks them.
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
	for _, o := range from.Overrides {
		path, value, ok := strings.Cut(o, "=")
		if !ok {
			return Settings{}, fmt.Errorf("--set %s: expected Path=Value", o)
		}
		if err := override(&s, path, value); err != nil {
			return Settings{}, fmt.Errorf("--set %s: %w", o, err)
		}
	}
	if err := s.Check(); err != nil {
		return Settings{}, prefixFile(from.File, err)
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
	return prefixFile(file, Decode(data, into))
}

// prefixFile puts the name of the file before each line of the error's text.
func prefixFile(file string, err error) error {
	if err == nil || file == "" {
		return err
	}
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		lines[i] = file + ": " + lines[i]
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Decode decodes YAML into settings, keeping the values that data does not mention.
// It returns an error for unknown fields.
func Decode(data []byte, into *Settings) error {
	err := yaml.UnmarshalWithOptions(data, into, yaml.Strict())
	var located yaml.Error
	if errors.As(err, &located) {
		position := located.GetToken().Position
		return fmt.Errorf("line %d, column %d: %s", position.Line, position.Column, located.GetMessage())
	}
	if err != nil {
		return fmt.Errorf("%w%s", err, locateValue(data, err))
	}
	return nil
}

// locateValue returns a description of the first line that contains the value which
// err quotes, or "" if there is none. It serves errors of the decoder that have no
// position.
func locateValue(data []byte, err error) string {
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
	paths := map[string]string{}
	for _, setting := range All() {
		paths[EnvironmentName(setting.Path)] = setting.Path
	}
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) {
			continue
		}
		path, known := paths[name]
		if !known {
			return fmt.Errorf("environment variable %s: there is no such setting", name)
		}
		if err := override(s, path, value); err != nil {
			return fmt.Errorf("environment variable %s: %w", name, err)
		}
	}
	return nil
}

// EnvironmentName returns the name of the environment variable that overrides the
// setting at path.
func EnvironmentName(path string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(path, ".", "_"))
}

// override sets the setting at path, such as "Limits.Ring", from its text form.
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
	return parseInto(field, value)
}

func parseInto(field reflect.Value, value string) error {
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
		return errors.New("this setting can't be overridden as a whole; override one of its fields")
	}
	return nil
}

// Setting describes one setting.
type Setting struct {
	// Path is the section and the name, such as "Limits.Ring".
	Path string
	Doc  string
	// Default is the default value in YAML.
	Default string
	Type    string
}

// All returns the descriptions of all settings, in the order of the struct fields.
func All() []Setting {
	defaults := Defaults()
	return list("", reflect.ValueOf(defaults))
}

func list(prefix string, v reflect.Value) []Setting {
	var out []Setting
	for i := range v.NumField() {
		f := v.Type().Field(i)
		path := strings.TrimPrefix(prefix+"."+f.Name, ".")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, list(path, v.Field(i))...)
			continue
		}
		out = append(out, Setting{Path: path, Doc: f.Tag.Get("doc"), Default: formatDefault(v.Field(i)), Type: typeName(f.Type)})
	}
	return out
}

func formatDefault(v reflect.Value) string {
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

// PrintDefaults returns a commented YAML settings file with the defaults.
func PrintDefaults() string {
	var b strings.Builder
	section := ""
	for _, s := range All() {
		first, name, _ := strings.Cut(s.Path, ".")
		if first != section {
			section = first
			fmt.Fprintf(&b, "%s:\n", first)
		}
		fmt.Fprintf(&b, "  # %s\n  %s: %s\n", s.Doc, name, s.Default)
	}
	return b.String()
}

// Markdown returns the contents of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry VM\n\nGenerated from package settings; run `make docs` to update it.\n")
	b.WriteString("A file overrides the defaults, the environment overrides the file, `--set Path=Value` overrides both.\n\n")
	b.WriteString("| Setting | Type | Default | Variable | Meaning |\n|---|---|---|---|---|\n")
	for _, s := range All() {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | `%s` | %s |\n", s.Path, s.Type, s.Default, EnvironmentName(s.Path), s.Doc)
	}
	return b.String()
}
