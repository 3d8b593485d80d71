// Package assert holds the assertions that the project's tests share. It uses
// the standard library alone; every message names what was compared and gives
// got and want.
package assert

import (
	"reflect"
	"strings"
	"testing"
)

// Equal fails the test unless got equals want.
func Equal[T any](t testing.TB, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// True fails the test unless the condition holds.
func True(t testing.TB, what string, got bool) {
	t.Helper()
	if !got {
		t.Errorf("%s: got false, want true", what)
	}
}

// NoError ends the test when there is an error.
func NoError(t testing.TB, what string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

// ErrorHas fails the test unless the error's text has a part.
func ErrorHas(t testing.TB, what string, err error, part string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), part) {
		t.Errorf("%s: got error %v, want one with %q", what, err, part)
	}
}

// AtMost fails the test when got is more than want.
func AtMost[T int | int64 | uint64 | float64](t testing.TB, what string, got, want T) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %v, want at most %v", what, got, want)
	}
}
