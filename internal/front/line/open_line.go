package line

import (
	"math"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/settings"
)

// maxLineBytes is the length limit of a line, including its CRLF.
const maxLineBytes = 4 << 10

// reopenWait limits how long a client whose flow was migrated waits for its new flow.
const reopenWait = 40 * time.Second

// openLine is a parsed OPEN line, the first line of a request.
type openLine struct {
	prefix, suffix string // the text before and after the value of field d; prefix is the whole line if there is no d
	hasDeadline    bool   // whether the line has a d field
	id             uint64
	request        core.Request
}

// parseOpen parses `OPEN id key fields`. text does not include the CRLF.
func parseOpen(set *settings.Settings, text string) (openLine, error) {
	var o openLine
	args := strings.Split(text, " ")
	if len(args) != 4 || args[0] != commandOpen {
		return o, malformedf(notOpen, "neither PING nor OPEN with an id, a key and a list of fields")
	}
	for _, b := range []byte(text) {
		if b < ' ' || b > '~' {
			return o, malformedf(badByte, "byte %#x is not printable ASCII", b)
		}
	}
	var err error
	if o.id, err = strconv.ParseUint(args[1], 16, 64); err != nil {
		return o, malformedf(badID, "id %.*q is not a 64-bit hexadecimal number", maxShownValue, args[1])
	}
	key, err := strconv.ParseUint(args[2], 16, 64)
	if err != nil {
		return o, malformedf(badKey, "key %.*q is not a 64-bit hexadecimal number", maxShownValue, args[2])
	}
	o.request = core.Request{Name: args[1], Key: key, Class: -1, Tenant: -1}
	if err := o.parseFields(set, text, len(text)-len(args[3])); err != nil {
		return o, err
	}
	o.boundWait(set, text)
	return o, nil
}

// parseFields parses the fields, `name=value,name=value`, which start at the given offset in text.
func (o *openLine) parseFields(set *settings.Settings, text string, offset int) error {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text[offset:], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || value == "" || seen[name] {
			return malformedf(badPair, "field %.*q is not name=value or repeats a name", maxShownValue, pair)
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
		return malformedf(missingField, "no class (c) or no tenant (t)")
	}
	o.request.Tenant = max(o.request.Tenant, 0)
	return nil
}

// boundWait limits the time that the request may wait to its class's deadline, or to reopenWait if
// the client had a flow before.
func (o *openLine) boundWait(set *settings.Settings, text string) {
	limit := settings.Duration(set.Classes[o.request.Class].Deadline)
	if o.request.CurrentMember != "" {
		limit = reopenWait
	}
	if !o.hasDeadline {
		o.prefix, o.request.TimeLeft = text, limit
	} else if limit > 0 { // otherwise a huge d could queue a request for days
		o.request.TimeLeft = min(o.request.TimeLeft, limit)
	}
}

// parseField parses one field: c is the class, t the tenant, d the client's remaining wait in
// milliseconds, g the group, h the expected load in thousandths of work per second, again=1 marks a
// reconnecting client, and at names the member that has the flow. Other fields are only forwarded.
func parseField(request *core.Request, set *settings.Settings, name, value string) error {
	var known bool
	var err error
	switch name {
	case "c":
		if request.Class, known = set.Class(value); !known {
			return malformedf(unknownClass, "class %.*q is not in the settings", maxShownValue, value)
		}
	case "t":
		if request.Tenant, known = set.Tenant(value); !known {
			return malformedf(unknownTenant, "tenant %.*q is not in the settings", maxShownValue, value)
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
		return malformedf(badValue, "invalid value in field %s=%.*q", name, maxShownValue, value)
	}
	return nil
}

// forMember returns the line to send to the member: the client's line, with d, if present, set to
// the remaining wait in milliseconds, at least 1.
func (o openLine) forMember(wait time.Duration) []byte {
	if !o.hasDeadline {
		return []byte(o.prefix + "\r\n")
	}
	ms := max(1, wait.Milliseconds())
	return []byte(o.prefix + strconv.FormatInt(ms, 10) + o.suffix + "\r\n")
}
