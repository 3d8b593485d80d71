package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
)

// checkHead returns an error if a response has an invalid status or field name.
func checkHead(response *http.Response) error {
	if err := CheckStatus(response.StatusCode); err != nil {
		return err
	}
	for name := range response.Header {
		if err := CheckFieldName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckStatus returns an error unless a response can have the status (RFC 9110, section 15).
// net/http accepts any three digits. It returns interim responses only if they switch to
// another protocol, which no request asks for.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return fmt.Errorf("status %03d is not that of a response", status)
	}
	return nil
}

// CheckFieldName returns an error unless a field that net/http has read can have the name.
// net/http rejects all other characters that a name can't have, but passes names with spaces
// on and ignores what they state of the body (go.dev/issue/34540).
func CheckFieldName(name string) error {
	if strings.Contains(name, " ") {
		return fmt.Errorf("the name of field %.64q has a space", name)
	}
	return nil
}

var errFoldedLine = errors.New("the head of the response has a folded line")

// foldDetector finds lines in the heads of responses that begin with a blank. net/http joins
// them to the field before, so that a field whose name begins with a blank changes the value
// of another and is itself ignored. A proxy may reject them (RFC 9112, section 5.2).
type foldDetector struct {
	// expected is set when the next bytes on the connection begin a response.
	expected atomic.Bool
	// inHead reports whether the bytes belong to a head.
	inHead bool
	// line holds the beginning of the current line without its line end.
	line []byte
	// first reports whether the line is the first of the head, interim whether the head is
	// that of an interim response, which another one follows.
	first, interim bool
}

// interimPrefixBytes is the length of the part of a status line that tells interim responses.
const interimPrefixBytes = len("HTTP/1.1 100")

// scan reads the bytes that a connection received.
func (d *foldDetector) scan(data []byte) error {
	if d.expected.Swap(false) {
		d.begin()
	}
	for d.inHead && len(data) > 0 {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		d.line = append(d.line, part[:min(len(part), interimPrefixBytes-len(d.line))]...)
		if !d.first && len(d.line) > 0 && (d.line[0] == ' ' || d.line[0] == '\t') {
			return errFoldedLine
		}
		if ended {
			d.endLine()
		}
		data = rest
	}
	return nil
}

func (d *foldDetector) begin() { d.inHead, d.first, d.interim, d.line = true, true, false, d.line[:0] }

func (d *foldDetector) endLine() {
	line := bytes.TrimSuffix(d.line, []byte("\r"))
	switch {
	case d.first:
		status := line[min(len(line), len("HTTP/1.1 ")):]
		d.interim = len(status) == 3 && status[0] == '1' && string(status) != "101"
	case len(line) == 0 && d.interim:
		d.begin()
		return
	case len(line) == 0:
		d.inHead = false
	}
	d.first, d.line = false, d.line[:0]
}
