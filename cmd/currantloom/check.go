package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
	"currantloom.example/currantloom/loomsettings"
)

// runCheck checks files. It returns the errors of all of them together.
func runCheck(o *options) error {
	if len(o.paths()) == 0 {
		return currantloom.ErrInput.New("check needs a file; see currantloom check --help")
	}
	names, err := readKnownNames(o.settingsPath)
	if err != nil {
		return err
	}
	var fileErrors currantloom.FileErrors
	for _, path := range o.paths() {
		summary, err := checkFile(path, names)
		var found currantloom.FileErrors
		switch {
		case errors.As(err, &found):
			fileErrors = append(fileErrors, found...)
		case err != nil:
			return err
		default:
			fmt.Printf("%s: %s\n", path, summary)
		}
	}
	if len(fileErrors) > 0 {
		return fileErrors
	}
	return nil
}

func checkFile(path string, names *loomrules.KnownNames) (string, error) {
	if slices.Contains([]string{".yaml", ".yml"}, strings.ToLower(filepath.Ext(path))) {
		s, err := loomsettings.Read(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("settings of %s, %d databases", s.ReducerConfig().Self, len(s.ReducerConfig().Databases)), nil
	}
	_, rules, err := readRules(path, names)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d rules", rules.Len()), nil
}

// readRules reads and parses a rules file. It checks the names in the rules unless names is nil.
func readRules(path string, names *loomrules.KnownNames) (string, *loomrules.Rules, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, currantloom.ErrInput.New("read rules: %v", err)
	}
	rules, err := loomrules.ParseFile(path, string(data), names)
	return string(data), rules, err
}

// readKnownNames returns the names that rules may use, from the settings file at the path; nil if the path is empty.
func readKnownNames(path string) (*loomrules.KnownNames, error) {
	if path == "" {
		return nil, nil
	}
	s, err := loomsettings.Read(path)
	if err != nil {
		return nil, err
	}
	c := &loomrules.KnownNames{Databases: s.ReducerConfig().Databases}
	for name := range s.OrganisationPasswords() {
		c.Organisations = append(c.Organisations, name)
	}
	return c, nil
}
