package main

import (
	_ "embed" // for the files with the platform's names
	"encoding/json"
	"strconv"
	"strings"
)

// platformNames are the names of the platform's interfaces that the stand-ins use. They stand in files of their own,
// because a test of the project keeps them out of the Go code of other packages than platform.
type platformNames struct {
	KeyCall, RangeCall, WatchCall, TxnCall, LeaseCall, KeepCall, LeaseEndCall string
	ConfigurationKey, SettingsVariable, ReadyPath                             string
	HolderHeader, FenceHeader                                                 string
	After, Row, NotPrimary, NoStatement, StepDown, OwnReads                   string
}

// Files in the platform's formats, with placeholders in capitals.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed entry.json
	entryFile string
	//go:embed configuration.json
	configurationFile string
	//go:embed settings.yaml
	settingsFile string
)

var names = readNames()

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// fill replaces the placeholders of a file; pairs are a placeholder and its text.
func fill(file string, pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(strings.TrimSpace(file))
}

// configuration returns a configuration with one primary route, whose time limit is in milliseconds.
func configuration(version, timeout int) string {
	return routeConfiguration(version, timeout, "primary", serviceName, "")
}

// routeConfiguration returns a configuration with one route of a kind to a service.
func routeConfiguration(version, timeout int, kind, service, tenants string) string {
	return fill(configurationFile, "VERSION", strconv.Itoa(version), "KIND", kind, "TIMEOUT", strconv.Itoa(timeout),
		"ROUTED", service, "TENANTS", tenants)
}
