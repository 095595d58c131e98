package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the length of the longest log line that is parsed; longer lines count as malformed.
const maxLineBytes = 1 << 20

// logLine is one JSON line of an entry instance's log.
type logLine struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Message   string    `json:"msg"`
	Level     string    `json:"level"`
	Error     string    `json:"error"`
	Region    string    `json:"region"`
	RequestID string    `json:"request-id"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Cause     string    `json:"cause"`
	Account   string    `json:"account"`
	Status    int       `json:"status"`
	Verdict   string    `json:"verdict"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Server    string    `json:"server"`
	Site      string    `json:"site"`
	Attempts  int       `json:"attempts"`
	Version   int64     `json:"version"`
	ElapsedMs int64     `json:"elapsed-ms"`
	GoalMs    int64     `json:"goal-ms"`
	LeftMs    int64     `json:"left-ms"`
	// ExpectedMs, WaitMs and Load are the estimates that the server was chosen by; LoadAgeMs is the age
	// of the load report that they are based on.
	ExpectedMs int64   `json:"expected-ms"`
	WaitMs     int64   `json:"wait-ms"`
	Load       float64 `json:"load"`
	LoadAgeMs  int64   `json:"load-age-ms"`
	// Raw holds the JSON text of the line, including keys that have no field here.
	Raw json.RawMessage `json:"-"`
}

// isRequest reports whether the line records the outcome of a request or of one attempt at it. Other lines
// count as state changes of the instance.
func (l logLine) isRequest() bool {
	return l.Message == "request"
}

// logs holds the parsed lines of all files, ordered by time.
type logs struct {
	lines []logLine
	// malformed counts the lines that could not be parsed.
	malformed int
}

// readLogs reads all lines of files into memory, or those of standard input if there are no files.
func readLogs(files []string, standardInput io.Reader) (*logs, error) {
	read := &logs{}
	malformed, err := scanLogs(files, standardInput, func(line logLine) {
		line.Raw = bytes.Clone(line.Raw)
		read.lines = append(read.lines, line)
	})
	if err != nil {
		return nil, err
	}
	read.malformed = malformed
	slices.SortStableFunc(read.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return read, nil
}

// scanLogs calls handle for each line of files, or of standard input if there are none, and returns
// the number of lines that could not be parsed. A line's Raw is valid until handle returns.
func scanLogs(files []string, standardInput io.Reader, handle func(logLine)) (malformed int, err error) {
	if len(files) == 0 {
		return scanLog(standardInput, handle)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return malformed, err
		}
		n, err := scanLog(file, handle)
		file.Close()
		malformed += n
		if err != nil {
			return malformed, errors.Wrap(err, name)
		}
	}
	return malformed, nil
}

// scanLog reads one log. Text before the first brace of a line, such as the prefix of a log collector,
// is ignored. An overlong line is skipped to its end and counted as malformed.
func scanLog(r io.Reader, handle func(logLine)) (malformed int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if len(text) > 0 && (tooLong || !parseLine(text, handle)) {
			malformed++
		}
		if errors.Is(err, io.EOF) {
			return malformed, nil
		}
		if err != nil {
			return malformed, err
		}
	}
}

// parseLine parses a line and calls handle with it. It returns false if the line is malformed.
func parseLine(text []byte, handle func(logLine)) bool {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return false
	}
	var line logLine
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return false
	}
	line.Raw = bytes.TrimSpace(text[start:])
	handle(line)
	return true
}
