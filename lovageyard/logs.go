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

// maxLine is the size of the longest log line that is read.
const maxLine = 1 << 20

// logLine is one line of an edge instance's log.
type logLine struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Message   string    `json:"msg"`
	Level     string    `json:"level"`
	Error     string    `json:"error"`
	RequestID string    `json:"request-id"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Status    int       `json:"status"`
	Verdict   string    `json:"verdict"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Server    string    `json:"server"`
	Site      string    `json:"site"`
	Attempts  int       `json:"attempts"`
	Version   int64     `json:"version"`
	ElapsedMs int64     `json:"elapsed-ms"`
	LeftMs    int64     `json:"left-ms"`
	// What was expected of the server, and the age of the load report behind it.
	ExpectedMs int64   `json:"expected-ms"`
	WaitMs     int64   `json:"wait-ms"`
	Load       float64 `json:"load"`
	LoadAgeMs  int64   `json:"load-age-ms"`
	// Raw holds the whole line, for what has no field here.
	Raw json.RawMessage `json:"-"`
}

// isRequest says whether the line is a decision on a request.
func (l logLine) isRequest() bool {
	return l.Message == "request"
}

// logs are the lines of some files in the order of their times.
type logs struct {
	lines []logLine
	// bad counts the lines that are not understood.
	bad int
}

// readLogs reads files, or standard input if there are none. What stands before the first
// brace of a line, such as a collector's prefix, is passed over.
func readLogs(files []string, standardInput io.Reader) (*logs, error) {
	read := &logs{}
	if len(files) == 0 {
		if err := read.add(standardInput); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = read.add(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	slices.SortStableFunc(read.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return read, nil
}

func (l *logs) add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			l.bad++
			continue
		}
		var line logLine
		if err := json.Unmarshal(text[begin:], &line); err != nil {
			l.bad++
			continue
		}
		line.Raw = bytes.Clone(text[begin:])
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}
