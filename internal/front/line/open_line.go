package line

import (
	"math"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/settings"
)

// maxLineBytes is the longest line, its CRLF included.
const maxLineBytes = 4 << 10

// reopenWait is how long a client whose flow was migrated waits for a new one.
const reopenWait = 40 * time.Second

// openLine is a client's first line, parsed.
type openLine struct {
	prefix, suffix string // the line before and after the value of d
	hasDeadline    bool   // the line has a d
	id             uint64
	request        core.Request
}

// parseOpen parses `OPEN id key fields`, without its CRLF.
func parseOpen(set *settings.Settings, text string) (openLine, error) {
	var o openLine
	args := strings.Split(text, " ")
	if len(args) != 4 || args[0] != commandOpen {
		return o, malformedf(notOpen, "not OPEN with an id, a key and a list")
	}
	for _, b := range []byte(text) {
		if b < ' ' || b > '~' {
			return o, malformedf(badByte, "byte %#x", b)
		}
	}
	var err error
	if o.id, err = strconv.ParseUint(args[1], 16, 64); err != nil {
		return o, malformedf(badID, "id %.*q", maxShownValue, args[1])
	}
	key, err := strconv.ParseUint(args[2], 16, 64)
	if err != nil {
		return o, malformedf(badKey, "key %.*q", maxShownValue, args[2])
	}
	o.request = core.Request{Name: args[1], Key: key, Class: -1, Tenant: -1}
	if err := o.parseFields(set, text, len(text)-len(args[3])); err != nil {
		return o, err
	}
	o.boundWait(set, text)
	return o, nil
}

// parseFields parses the line's `name=value,name=value`, which starts at the given offset.
func (o *openLine) parseFields(set *settings.Settings, text string, offset int) error {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text[offset:], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || value == "" || seen[name] {
			return malformedf(badPair, "%.*q", maxShownValue, pair)
		}
		seen[name] = true
		if err := parseField(&o.request, set, name, value); err != nil {
			return err
		}
		if name == "d" {
			from := offset + len("d=")
			o.prefix, o.suffix, o.hasDeadline = text[:from], text[from+len(value):], true
		}
		offset += len(pair) + 1
	}
	if o.request.Class < 0 || o.request.Tenant < 0 && len(set.Tenants) > 0 {
		return malformedf(missingField, "no class or tenant")
	}
	o.request.Tenant = max(o.request.Tenant, 0)
	return nil
}

// boundWait limits how long the request may wait by its class.
func (o *openLine) boundWait(set *settings.Settings, text string) {
	limit := settings.Duration(set.Classes[o.request.Class].Deadline)
	if o.request.CurrentMember != "" {
		limit = reopenWait
	}
	if !o.hasDeadline {
		o.prefix, o.request.TimeLeft = text, limit
	} else if limit > 0 { // an absurd d must not queue a request for days
		o.request.TimeLeft = min(o.request.TimeLeft, limit)
	}
}

// parseField parses one of the named values; other names are only forwarded.
func parseField(request *core.Request, set *settings.Settings, name, value string) error {
	var known bool
	var err error
	switch name {
	case "c":
		if request.Class, known = set.Class(value); !known {
			return malformedf(unknownClass, "class %.*q", maxShownValue, value)
		}
	case "t":
		if request.Tenant, known = set.Tenant(value); !known {
			return malformedf(unknownTenant, "tenant %.*q", maxShownValue, value)
		}
	case "d":
		var ms float64
		if ms, err = strconv.ParseFloat(value, 64); err == nil && (math.IsNaN(ms) || ms < 0 || ms > 1e9) {
			err = strconv.ErrRange
		}
		request.TimeLeft = settings.Duration(ms)
	case "g":
		request.Group, err = strconv.ParseUint(value, 16, 64)
	case "h":
		var ms float64
		if ms, err = strconv.ParseFloat(value, 64); ms > 0 && !math.IsInf(ms, 0) {
			request.Load = ms / 1e3
		}
	case "again":
		request.Reconnect = value == "1"
	case "at":
		request.CurrentMember = value
	}
	if err != nil {
		return malformedf(badValue, "%s=%.*q", name, maxShownValue, value)
	}
	return nil
}

// forMember is the line that a member gets: the client's, with the remaining wait as d.
func (o openLine) forMember(wait time.Duration) []byte {
	if !o.hasDeadline {
		return []byte(o.prefix + "\r\n")
	}
	ms := max(1, wait.Milliseconds())
	return []byte(o.prefix + strconv.FormatInt(ms, 10) + o.suffix + "\r\n")
}
