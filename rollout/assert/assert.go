// Package assert provides the assertions shared by the project's tests. It uses
// only the standard library. Every failure message names what was compared and
// states the actual and the expected value.
package assert

import (
	"reflect"
	"strings"
	"testing"
)

// Equal reports a test failure unless got and want are deeply equal.
func Equal[T any](t testing.TB, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// True reports a test failure unless got is true.
func True(t testing.TB, what string, got bool) {
	t.Helper()
	if !got {
		t.Errorf("%s: got false, want true", what)
	}
}

// NoError fails the test and stops it if err is not nil.
func NoError(t testing.TB, what string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

// ErrorContains reports a test failure unless err is an error whose text contains
// a substring.
func ErrorContains(t testing.TB, what string, err error, substring string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), substring) {
		t.Errorf("%s: got error %v, want one containing %q", what, err, substring)
	}
}

// AtMost reports a test failure if got is greater than want.
func AtMost[T int | int64 | uint64 | float64](t testing.TB, what string, got, want T) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %v, want at most %v", what, got, want)
	}
}
