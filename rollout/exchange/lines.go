package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Lines reads the lines of a streamed answer.
type Lines struct {
	reader *bufio.Reader
	limit  int
}

// NewLines returns a reader with a buffer of a size, for lines of about limit
// bytes at most.
func NewLines(r io.Reader, buffer, limit int) *Lines {
	return &Lines{reader: bufio.NewReaderSize(r, buffer), limit: limit}
}

// Next returns the next line without its end; it is valid until the next call. A
// last line without an end is an error, for its writer stopped in the middle;
// io.EOF means that the answer ended after a whole line.
func (l *Lines) Next() ([]byte, error) {
	line, err := l.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		whole := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(whole) < l.limit {
			line, err = l.reader.ReadSlice('\n')
			whole = append(whole, line...)
		}
		line = whole
	}
	if errors.Is(err, io.EOF) && len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
