package line

import (
	"math"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// maxLine is the longest line, its CRLF included.
const maxLine = 4 << 10

// standingWait is how long a client waits for a flow that was open before.
const standingWait = 40 * time.Second

// opening is a client's first line, read.
type opening struct {
	before, after string // the line but for the figure of d
	timed         bool   // it had a d
	id            uint64
	request       core.Request
}

// parseOpen reads `OPEN id key names`, without its CRLF.
func parseOpen(set *settings.Settings, text string) (opening, error) {
	var o opening
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "OPEN" {
		return o, malformed(notOpen, "not OPEN with an id, a key and a list")
	}
	for _, b := range []byte(text) {
		if b < ' ' || b > '~' {
			return o, malformed(badByte, "byte %#x", b)
		}
	}
	var err error
	if o.id, err = strconv.ParseUint(words[1], 16, 64); err != nil {
		return o, malformed(badID, "id %.*q", shown, words[1])
	}
	key, err := strconv.ParseUint(words[2], 16, 64)
	if err != nil {
		return o, malformed(badKey, "key %.*q", shown, words[2])
	}
	q := core.Request{Name: words[1], Key: key, Class: -1, Tenant: -1}
	at := len(text) - len(words[3])
	seen := map[string]bool{}
	for _, pair := range strings.Split(words[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || value == "" || seen[name] {
			return o, malformed(badPair, "%.*q", shown, pair)
		}
		seen[name] = true
		if err := take(&q, set, name, value); err != nil {
			return o, err
		}
		if name == "d" {
			from := at + len("d=")
			o.before, o.after, o.timed = text[:from], text[from+len(value):], true
		}
		at += len(pair) + 1
	}
	if q.Class < 0 || q.Tenant < 0 && len(set.Tenants) > 0 {
		return o, malformed(missing, "no class or tenant")
	}
	q.Tenant = max(q.Tenant, 0)
	most := settings.Span(set.Classes[q.Class].Deadline)
	if q.CurrentMember != "" {
		most = standingWait
	}
	if !o.timed {
		o.before, q.TimeLeft = text, most
	} else if most > 0 { // a senseless d must not hold a request for days
		q.TimeLeft = min(q.TimeLeft, most)
	}
	o.request = q
	return o, nil
}

// take reads one of the named values; other names are only passed on.
func take(q *core.Request, set *settings.Settings, name, value string) error {
	var known bool
	var err error
	switch name {
	case "c":
		if q.Class, known = set.Class(value); !known {
			return malformed(unknownClass, "class %.*q", shown, value)
		}
	case "t":
		if q.Tenant, known = set.Tenant(value); !known {
			return malformed(unknownTenant, "tenant %.*q", shown, value)
		}
	case "d":
		var ms float64
		if ms, err = strconv.ParseFloat(value, 64); err == nil && (math.IsNaN(ms) || ms < 0 || ms > 1e9) {
			err = strconv.ErrRange
		}
		q.TimeLeft = settings.Span(ms)
	case "g":
		q.Group, err = strconv.ParseUint(value, 16, 64)
	case "h":
		var ms float64
		if ms, err = strconv.ParseFloat(value, 64); ms > 0 && !math.IsInf(ms, 0) {
			q.Load = ms / 1e3
		}
	case "again":
		q.Reconnect = value == "1"
	case "at":
		q.CurrentMember = value
	}
	if err != nil {
		return malformed(badValue, "%s=%.*q", name, shown, value)
	}
	return nil
}

// line is what a member gets: the client's line with the remaining wait as d.
func (o opening) line(wait time.Duration) []byte {
	if !o.timed {
		return []byte(o.before + "\r\n")
	}
	ms := max(1, wait.Milliseconds())
	return []byte(o.before + strconv.FormatInt(ms, 10) + o.after + "\r\n")
}

// parseReport reads a load report, `name=value,name=value`.
func parseReport(text string) policy.Report {
	if text == "" {
		return policy.NoReport
	}
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return settings.Report(values)
}
