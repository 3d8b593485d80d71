// Package keyvalue parses text with lines of the form key=value, such as settings.
package keyvalue

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// maxNumber limits numbers that are not whole; milliseconds of 11 days.
const maxNumber = 1e9

// Parser returns the values of keys and keeps the first error.
type Parser struct {
	values map[string]string
	err    error
}

// Parse reads all lines. Of a key that comes twice the last value counts. It returns an
// error for a line without a value; empty lines are skipped.
func Parse(data []byte) (*Parser, error) {
	p := &Parser{values: map[string]string{}}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("line %d: got %q, expected key=value", n, line)
		}
		p.values[key] = value
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read lines: %w", err)
	}
	return p, nil
}

// Err returns the error of the first value that was not as expected.
func (p *Parser) Err() error { return p.err }

func (p *Parser) fail(key, expected string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s: got %q, expected %s", key, p.values[key], expected)
	}
}

// Text returns the value of a key, or the empty string.
func (p *Parser) Text(key string) string { return p.values[key] }

// NonEmpty returns a value that must not be empty.
func (p *Parser) NonEmpty(key string) string {
	if p.values[key] == "" {
		p.fail(key, "a non-empty value")
	}
	return p.values[key]
}

// Address returns a value that must be an IP address and a port.
func (p *Parser) Address(key string) string {
	if _, err := netip.ParseAddrPort(p.values[key]); err != nil {
		p.fail(key, "an IP address and a port")
	}
	return p.values[key]
}

// Integer returns a value that must be an integer from low to high.
func (p *Parser) Integer(key string, low, high int) int {
	n, err := strconv.Atoi(p.values[key])
	if err != nil || n < low || n > high {
		p.fail(key, fmt.Sprintf("an integer from %d to %d", low, high))
	}
	return n
}

// FirstPort returns the first port of a list of ports separated by commas, or 0 if the key is
// missing or empty.
func (p *Parser) FirstPort(key string) int {
	first, _, _ := strings.Cut(p.values[key], ",")
	if strings.TrimSpace(first) == "" {
		return 0
	}
	n, err := strconv.ParseUint(strings.TrimSpace(first), 10, 16)
	if err != nil || n == 0 {
		p.fail(key, "ports, separated by commas")
	}
	return int(n)
}

// NonNegative returns a value that must be a number from 0 to maxNumber.
func (p *Parser) NonNegative(key string) float64 {
	n, err := strconv.ParseFloat(p.values[key], 64)
	if err != nil || !(n >= 0 && n <= maxNumber) {
		p.fail(key, fmt.Sprintf("a number from 0 to %g", maxNumber))
		return 0
	}
	return n
}

// Optional is NonNegative with a default for a key that is missing.
func (p *Parser) Optional(key string, missing float64) float64 {
	if _, ok := p.values[key]; !ok {
		return missing
	}
	return p.NonNegative(key)
}

// AtLeast returns a number that is at least low, or the default if it is empty or missing.
func (p *Parser) AtLeast(key string, low, missing float64) float64 {
	if p.values[key] == "" {
		return missing
	}
	n := p.NonNegative(key)
	if p.err == nil && n < low {
		p.fail(key, fmt.Sprintf("a number of at least %g", low))
	}
	return n
}
