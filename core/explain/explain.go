// Package explain traces one request through the log files of several VMs: it
// collects the log lines that name the request id, sorts them by time and states
// how the request ended and why. It depends on the clocks of the VMs only for
// the order of the lines.
package explain

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	At      time.Time
	File    string
	Message string
	Fields  map[string]string
}

// Report holds the log lines of one request and the conclusion drawn from them.
type Report struct {
	Lines      []Line // in order of time after Finish
	Unreadable int    // number of lines that name the request but can't be parsed
	Conclusion string
}

// maxLine is the longest log line that can be read, in bytes.
const maxLine = 1 << 20

// Collect adds the lines of one file that belong to a request. Lines that can't
// be parsed are counted; an error means that the file could not be read to its
// end, such as bufio.ErrTooLong.
func (r *Report) Collect(id, file string, source io.Reader) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, "request="+id) {
			continue
		}
		line, err := Parse(text)
		if err != nil || line.Fields["request"] != id {
			r.Unreadable++
			continue
		}
		line.File = file
		r.Lines = append(r.Lines, line)
	}
	return scanner.Err()
}

// Finish sorts the lines by time and sets the conclusion from the last line that
// was logged by the VM that the caller had connected to: there the field "from"
// is empty, on other VMs it names the VM that forwarded the request.
func (r *Report) Finish() {
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	r.Conclusion = "the logs have no line that ends the request at the VM that the caller used"
	for _, line := range r.Lines {
		if from, found := line.Fields["from"]; found && from == "" {
			r.Conclusion = conclude(line)
		}
	}
}

// causes maps the reason field of a log line to its explanation.
var causes = map[string]string{
	"slow":                        "no target was predicted to begin its answer in time: the region had too little capacity, and no other region took the request",
	"full":                        "all targets were at their bounds on requests or memory",
	"limited":                     "all targets of the region already got as many requests as the limits allow that they name",
	"no_targets":                  "no target of the service was known that may be used",
	"not_at_home":                 "the request may not run in this region, and no region where it may took it",
	"over_limit":                  "the organisation was over its limit",
	"unknown_key":                 "the key is in no organisation of the configuration in force",
	"no_route":                    "no route of the configuration in force matches",
	"no_configuration":            "the VM had no configuration yet",
	"configuration_not_confirmed": "the VM had no confirmation by a majority that its configuration is the newest",
	"stopping":                    "the VM was stopping and the request could have outlasted it",
	"tries_used_up":               "targets failed it, and it may not be sent to another one",
	"quarantined":                 "a part of the request, or the whole of it, has crashed targets repeatedly; see 'kingcuprill quarantine list'",
	"suspect_part":                "a target crashed that was about to answer a request with a part of this one, and another request was trying that part",
	"trial_failed":                "the request ran once as a trial, since a target crashed at a part of it, and failed",
	"deadline":                    "the route's timeout ended while a target was at work",
}

func conclude(line Line) string {
	reason, _, _ := strings.Cut(line.Fields["reason"], ":")
	cause := causes[reason]
	if cause == "" {
		cause = reason
	}
	switch line.Message {
	case "request is answered":
		return "answered with status " + line.Fields["status"] + " after " + line.Fields["took"] + " by " + line.Fields["target"]
	case "caller has left":
		return "the caller left after " + line.Fields["took"] + "; the last target was " + line.Fields["target"]
	case "answer is broken off":
		return "broken off after event " + line.Fields["last_event"] + ": " + cause
	case "request is refused":
		ran := "it may have run"
		if line.Fields["not_run"] == "true" {
			ran = "it has not run"
		}
		return "refused with status " + line.Fields["status"] + ", " + ran + ": " + cause
	}
	return line.Message
}

// Parse reads one log line of key=value pairs, in which values with spaces are
// quoted. It returns an error if the line has no time in RFC 3339 format or ends
// within a pair.
func Parse(text string) (line Line, err error) {
	// Log collectors may add a prefix to the line.
	_, text, found := strings.Cut(text, "time=")
	if !found {
		return line, errors.New("the log line has no field \"time\"")
	}
	line.Fields = map[string]string{}
	rest := "time=" + text
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(rest) {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return line, errors.New("the log line ends within a key=value pair")
		}
		value, remainder, err := cutValue(after)
		if err != nil {
			return line, err
		}
		line.Fields[key], rest = value, remainder
	}
	line.Message = line.Fields["msg"]
	line.At, err = time.Parse(time.RFC3339Nano, line.Fields["time"])
	return line, err
}

func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", err
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err
}
