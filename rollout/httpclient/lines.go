package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// LineReader reads the lines of a streamed response.
type LineReader struct {
	reader *bufio.Reader
	limit  int
}

// NewLineReader returns a reader of lines with a read buffer of bufferSize bytes.
// A line that is longer than about limit bytes gives bufio.ErrBufferFull.
func NewLineReader(r io.Reader, bufferSize, limit int) *LineReader {
	return &LineReader{reader: bufio.NewReaderSize(r, bufferSize), limit: limit}
}

// Next returns the next line without its line terminator. The line is valid until
// the next call. A last line without a terminator gives io.ErrUnexpectedEOF,
// because the server stopped in the middle of it; io.EOF means that the response
// ended after a complete line.
func (l *LineReader) Next() ([]byte, error) {
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
