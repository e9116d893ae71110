package loomsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"currantloom.example/currantloom"
)

// decoder decodes a settings file according to the table of keys and collects the errors.
type decoder struct {
	file   string
	errors currantloom.FileErrors
}

// section is a decoded mapping. An absent key that has a default is present with the default.
type section struct {
	position *token.Position
	values   map[string]value
}

// value is a decoded value. The key's kind determines which of the fields below text is set.
type value struct {
	position *token.Position
	text     string
	duration time.Duration
	number   int
	section  *section
	sections []*section
}

func (s *section) text(key string) string { return s.values[key].text }

// subsection returns the section of a key, an empty one if the key is absent.
func (s *section) subsection(key string) *section {
	if v := s.values[key].section; v != nil {
		return v
	}
	return &section{}
}

func (d *decoder) errorf(position *token.Position, format string, args ...any) {
	fileError := currantloom.FileError{File: d.file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)}
	if position != nil {
		fileError.Line, fileError.Column = position.Line, position.Column
	}
	d.errors = append(d.errors, fileError)
}

func (d *decoder) decode(data []byte) *section {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		var syntaxError *yaml.SyntaxError
		if errors.As(err, &syntaxError) {
			d.errorf(syntaxError.Token.Position, "%s", syntaxError.Message)
		} else {
			d.errorf(nil, "%v", err)
		}
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.errorf(nil, "want one YAML document with settings")
		return nil
	}
	return d.decodeSection(file.Docs[0].Body, "")
}

func (d *decoder) decodeSection(node ast.Node, path string) *section {
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		d.errorf(n.GetToken().Position, "%s: want keys with values, got %s", displayPath(path), n.Type())
		return nil
	}
	s := &section{position: positionOf(node), values: make(map[string]value)}
	lines := make(map[string]int)
	for _, entry := range entries {
		d.decodeEntry(s, lines, entry, path)
	}
	d.fillDefaults(s, lines, path)
	return s
}

// positionOf returns the position of a node's first key or value.
func positionOf(node ast.Node) *token.Position {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key.GetToken().Position
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position
	}
	return node.GetToken().Position
}

func (d *decoder) decodeEntry(s *section, lines map[string]int, entry *ast.MappingValueNode, path string) {
	position := entry.Key.GetToken().Position
	name := entry.Key.GetToken().Value
	if first, ok := lines[name]; ok {
		d.errorf(position, "key %s is already on line %d", joinPath(path, name), first)
		return
	}
	lines[name] = position.Line
	keyIndex := slices.IndexFunc(keys, func(k Key) bool { return k.Path == joinPath(path, name) })
	if keyIndex < 0 {
		d.errorf(position, "unknown key %s; keys here are %s", joinPath(path, name), strings.Join(childNames(path), ", "))
		return
	}
	s.values[name] = d.decodeValue(entry.Value, keys[keyIndex])
}

// fillDefaults reports missing keys and adds the defaults of absent ones.
func (d *decoder) fillDefaults(s *section, lines map[string]int, path string) {
	for _, k := range keys {
		name, ok := childName(k, path)
		if !ok || lines[name] > 0 {
			continue
		}
		switch {
		case k.required:
			d.errorf(s.position, "key %s is missing", k.Path)
		case k.kind == kindSection:
			empty := &section{position: s.position, values: make(map[string]value)}
			d.fillDefaults(empty, nil, k.Path)
			s.values[name] = value{position: s.position, section: empty}
		case k.Default != "":
			s.values[name] = d.decodeScalar(k, k.Default, s.position)
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayPath(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// childName returns the last part of the key's path and whether the key is directly in the section at path.
func childName(k Key, path string) (string, bool) {
	name := k.Path
	if path != "" {
		var ok bool
		if name, ok = strings.CutPrefix(k.Path, path+"."); !ok {
			return "", false
		}
	}
	return name, !strings.Contains(name, ".")
}

func childNames(path string) []string {
	var names []string
	for _, k := range keys {
		if name, ok := childName(k, path); ok {
			names = append(names, name)
		}
	}
	return names
}

func (d *decoder) decodeValue(node ast.Node, k Key) value {
	position := positionOf(node)
	switch k.kind {
	case kindSection:
		return value{position: position, section: d.decodeSection(node, k.Path)}
	case kindList:
		return value{position: position, sections: d.decodeList(node, k)}
	}
	switch n := node.(type) {
	case *ast.StringNode:
		return d.decodeScalar(k, n.Value, position)
	case *ast.LiteralNode:
		return d.decodeScalar(k, n.Value.Value, position)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return d.decodeScalar(k, n.GetToken().Value, position)
	default:
		d.errorf(position, "%s: want a value (%s), got %s", k.Path, k.Unit(), n.Type())
		return value{position: position}
	}
}

func (d *decoder) decodeList(node ast.Node, k Key) []*section {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.errorf(positionOf(node), "%s: want a list, got %s", k.Path, node.Type())
		return nil
	}
	if count := int64(len(sequence.Values)); count < k.minimum || count > k.maximum {
		d.errorf(positionOf(node), "%s has %d entries, want %s", k.Path, count, k.Range())
	}
	var list []*section
	for _, v := range sequence.Values {
		if s := d.decodeSection(v, k.Path); s != nil {
			list = append(list, s)
		}
	}
	return list
}

// decodeScalar decodes a value and checks it against its key.
func (d *decoder) decodeScalar(k Key, text string, position *token.Position) value {
	v := value{position: position, text: text}
	var err error
	switch k.kind {
	case kindName, kindRegion:
		err = checkName(k, text)
	case kindText:
		if length := int64(utf8.RuneCountInString(text)); length < k.minimum || length > k.maximum {
			err = currantloom.ErrInput.New("has %d characters, want %s", length, k.Range())
		}
	case kindAddress:
		err = checkAddress(text)
	case kindURL:
		err = checkURL(text)
	case kindDuration:
		v.duration, err = parseDuration(k, text)
	case kindNumber:
		v.number, err = strconv.Atoi(text)
		if err != nil || int64(v.number) < k.minimum || int64(v.number) > k.maximum {
			err = currantloom.ErrInput.New("%q is not a whole number from %s", text, k.Range())
		}
	case kindLevel:
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, text) {
			err = currantloom.ErrInput.New("%q is not one of %s", text, k.Range())
		}
	}
	if err != nil {
		d.errorf(position, "%s: %s", k.Path, currantloom.MessageOf(err))
	}
	return v
}

func checkName(k Key, text string) error {
	if text == "" || len(text) > maxNameLength {
		return currantloom.ErrInput.New("name has %d bytes, want 1 to %d", len(text), maxNameLength)
	}
	for _, r := range text {
		dot := r == '.' && k.Path != "callers.name"
		if r != '-' && r != '_' && !dot && !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			return currantloom.ErrInput.New("name %q holds the character %q", text, r)
		}
	}
	return nil
}

func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return currantloom.ErrInput.New("%q is not an IP:port", text)
	}
	return nil
}

func checkURL(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || strings.TrimSuffix(text, "/") != "http://"+parsed.Host {
		return currantloom.ErrInput.New("%q is not a URL such as http://10.0.0.1:8500", text)
	}
	return checkAddress(parsed.Host)
}

func parseDuration(k Key, text string) (time.Duration, error) {
	if _, err := strconv.Atoi(text); err == nil && text != "0" {
		return 0, currantloom.ErrInput.New("%q has no unit; write it as %sms or %ss", text, text, text)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, currantloom.ErrInput.New("%q is not a duration such as 500ms or 5s", text)
	}
	if int64(duration) < k.minimum || int64(duration) > k.maximum {
		return 0, currantloom.ErrInput.New("%s is out of range, want %s", text, k.Range())
	}
	return duration, nil
}
