package loomsettings

import (
	"fmt"
	"strings"
	"time"
)

// valueKind determines how a value is decoded and checked.
type valueKind uint8

const (
	kindName valueKind = iota
	kindText
	kindAddress
	kindURL
	kindDuration
	kindNumber
	kindLevel
	kindRegion
	// kindList is a sequence of mappings, kindSection a single mapping.
	kindList
	kindSection
)

var kindUnits = map[valueKind]string{
	kindName: "name", kindText: "text", kindAddress: "IP:port", kindURL: "HTTP URL by IP", kindDuration: "duration",
	kindNumber: "count", kindLevel: "level", kindRegion: "region", kindList: "list", kindSection: "section",
}

// Key describes one key of the settings. The table of keys determines which settings are accepted. docs/settings.md
// lists the same table, and a test compares the two.
type Key struct {
	// Path is the name of the key after the names of the sections and lists that contain it, joined by dots.
	Path        string
	Default     string
	Description string
	kind        valueKind
	required    bool
	minimum     int64
	maximum     int64
}

// Unit returns the unit or format of the value.
func (k Key) Unit() string { return kindUnits[k.kind] }

// Range returns the range of accepted values in words.
func (k Key) Range() string {
	switch k.kind {
	case kindDuration:
		maximum := strings.TrimSuffix(time.Duration(k.maximum).String(), "0s")
		return fmt.Sprintf("%s to %s", time.Duration(k.minimum), maximum)
	case kindNumber:
		return fmt.Sprintf("%d to %d", k.minimum, k.maximum)
	case kindList:
		if k.minimum == k.maximum {
			return fmt.Sprintf("%d entries", k.minimum)
		}
		return fmt.Sprintf("%d to %d entries", k.minimum, k.maximum)
	case kindName, kindText:
		return fmt.Sprintf("%d to %d characters", k.minimum, k.maximum)
	case kindLevel:
		return "debug, info, warn, error"
	case kindRegion:
		return "region of a database server or VM in the settings"
	case kindSection:
		return ""
	default:
		return "no host names, port 1 to 65535"
	}
}

// DefaultText returns the default, "required" if the key is required, or "none".
func (k Key) DefaultText() string {
	if k.required {
		return "required"
	}
	if k.Default == "" {
		return "none"
	}
	return k.Default
}

// Keys returns the table of keys.
func Keys() []Key { return keys }

const maxNameLength = 63

var keys = []Key{
	{Path: "vm", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "name of this VM, as in the platform's list"},
	{Path: "region", kind: kindRegion, required: true, Description: "region of this VM"},
	{Path: "failure-domain", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "failure domain of this VM; it belongs to one region"},
	{Path: "listen", kind: kindSection, required: true, Description: "addresses this node listens at"},
	{Path: "listen.callers", kind: kindAddress, required: true, Description: "client connections of callers"},
	{Path: "listen.links", kind: kindAddress, required: true, Description: "request links of other nodes"},
	{Path: "listen.control", kind: kindAddress, Description: "control protocol of other nodes and of operators"},
	{Path: "listen.http", kind: kindAddress, Description: "/live, /ready and /metrics"},
	{Path: "platform", kind: kindSection, Description: "the platform's store and VM list"},
	{Path: "platform.address", kind: kindURL, Description: "base URL of the platform's HTTP API"},
	{Path: "platform.timeout", kind: kindDuration, Default: "5s",
		minimum: int64(100 * time.Millisecond), maximum: int64(time.Minute),
		Description: "time for a call to the platform, on top of the wait time of a watch"},
	{Path: "callers", kind: kindList, required: true, minimum: 1, maximum: 1000,
		Description: "businesses that may connect"},
	{Path: "callers.name", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "name of the caller, without a dot"},
	{Path: "callers.password", kind: kindText, required: true, minimum: 1, maximum: 1024,
		Description: "password of the caller's applications"},
	{Path: "servers", kind: kindSection, Description: "how this node authenticates at database servers"},
	{Path: "servers.user", kind: kindName, Default: "currantloom", minimum: 1, maximum: maxNameLength,
		Description: "user name at the database servers"},
	{Path: "servers.password", kind: kindText, minimum: 1, maximum: 1024, Description: "password at the database servers"},
	{Path: "stop", kind: kindSection, Description: "graceful shutdown"},
	{Path: "stop.balancer-interval", kind: kindDuration, Default: "2s", minimum: 0, maximum: int64(time.Minute),
		Description: "time in which the load balancer notices that this node is not ready"},
	{Path: "log", kind: kindSection, Description: "log"},
	{Path: "log.level", kind: kindLevel, Default: "info", Description: "least severe level that is logged"},
	{Path: "vms", kind: kindList, minimum: 1, maximum: 1200,
		Description: "fixed list of VMs, instead of the platform's list"},
	{Path: "vms.name", kind: kindName, required: true, minimum: 1, maximum: maxNameLength, Description: "name of the VM"},
	{Path: "vms.region", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "region of the VM"},
	{Path: "vms.failure-domain", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "failure domain of the VM"},
	{Path: "vms.links", kind: kindAddress, required: true, Description: "address of its request links"},
	{Path: "vms.control", kind: kindAddress, Description: "address of its control protocol"},
	{Path: "databases", kind: kindList, required: true, minimum: 1, maximum: 1500, Description: "replicated databases"},
	{Path: "databases.name", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "name of the database"},
	{Path: "databases.slots", kind: kindNumber, required: true, minimum: 1, maximum: 256,
		Description: "statements that each server runs at a time without loss of throughput"},
	{Path: "databases.connections", kind: kindNumber, required: true, minimum: 6, maximum: 10000,
		Description: "connections that each server accepts; at least slots + 5, since 4 are kept for control and 1 for a " +
			"statement beside long work"},
	{Path: "databases.servers", kind: kindList, required: true, minimum: 3, maximum: 3,
		Description: "servers of the database"},
	{Path: "databases.servers.name", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "name of the server, unique over all databases"},
	{Path: "databases.servers.address", kind: kindAddress, required: true, Description: "address of the server"},
	{Path: "databases.servers.region", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "region of the server"},
	{Path: "databases.servers.failure-domain", kind: kindName, required: true, minimum: 1, maximum: maxNameLength,
		Description: "failure domain of the server"},
}
