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

// decoder reads a settings file by the table of keys and collects the faults.
type decoder struct {
	file   string
	faults currantloom.FileErrors
}

// section is a decoded mapping. A key that is absent and has a default is present with the default.
type section struct {
	position *token.Position
	values   map[string]value
}

// value is one decoded value.
type value struct {
	position *token.Position
	text     string
	duration time.Duration
	number   int
	section  *section
	list     []*section
}

func (s *section) text(key string) string { return s.values[key].text }

// sub returns the section of a key, an empty one if it is absent.
func (s *section) sub(key string) *section {
	if v := s.values[key].section; v != nil {
		return v
	}
	return &section{}
}

func (d *decoder) fault(p *token.Position, format string, args ...any) {
	f := currantloom.FileError{File: d.file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)}
	if p != nil {
		f.Line, f.Column = p.Line, p.Column
	}
	d.faults = append(d.faults, f)
}

func (d *decoder) decode(data []byte) *section {
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) {
			d.fault(syntax.Token.Position, "%s", syntax.Message)
		} else {
			d.fault(nil, "%v", err)
		}
		return nil
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.fault(nil, "want one YAML document with settings")
		return nil
	}
	return d.section(f.Docs[0].Body, "")
}

func (d *decoder) section(n ast.Node, path string) *section {
	var entries []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		d.fault(n.GetToken().Position, "%s: want keys with values, got %s", nameOf(path), n.Type())
		return nil
	}
	s := &section{position: positionOf(n), values: make(map[string]value)}
	lines := make(map[string]int)
	for _, entry := range entries {
		d.entry(s, lines, entry, path)
	}
	d.complete(s, lines, path)
	return s
}

// positionOf returns the position of a node's first key or value.
func positionOf(n ast.Node) *token.Position {
	switch n := n.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key.GetToken().Position
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position
	}
	return n.GetToken().Position
}

func (d *decoder) entry(s *section, lines map[string]int, entry *ast.MappingValueNode, path string) {
	at := entry.Key.GetToken().Position
	name := entry.Key.GetToken().Value
	if first, ok := lines[name]; ok {
		d.fault(at, "key %s is already on line %d", join(path, name), first)
		return
	}
	lines[name] = at.Line
	i := slices.IndexFunc(keys, func(k Key) bool { return k.Path == join(path, name) })
	if i < 0 {
		d.fault(at, "unknown key %s; keys here are %s", join(path, name), strings.Join(namesIn(path), ", "))
		return
	}
	s.values[name] = d.value(entry.Value, keys[i])
}

// complete reports missing keys and fills in defaults.
func (d *decoder) complete(s *section, lines map[string]int, path string) {
	for _, k := range keys {
		name, ok := nameIn(k, path)
		if !ok || lines[name] > 0 {
			continue
		}
		switch {
		case k.required:
			d.fault(s.position, "key %s is missing", k.Path)
		case k.kind == kindSection:
			empty := &section{position: s.position, values: make(map[string]value)}
			d.complete(empty, nil, k.Path)
			s.values[name] = value{position: s.position, section: empty}
		case k.Default != "":
			s.values[name] = d.scalar(k, k.Default, s.position)
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func nameOf(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// nameIn returns the last part of the key's path if the key is directly in the section at path.
func nameIn(k Key, path string) (string, bool) {
	name := k.Path
	if path != "" {
		var ok bool
		if name, ok = strings.CutPrefix(k.Path, path+"."); !ok {
			return "", false
		}
	}
	return name, !strings.Contains(name, ".")
}

func namesIn(path string) []string {
	var names []string
	for _, k := range keys {
		if name, ok := nameIn(k, path); ok {
			names = append(names, name)
		}
	}
	return names
}

func (d *decoder) value(n ast.Node, k Key) value {
	at := positionOf(n)
	switch k.kind {
	case kindSection:
		return value{position: at, section: d.section(n, k.Path)}
	case kindList:
		return value{position: at, list: d.list(n, k)}
	}
	switch n := n.(type) {
	case *ast.StringNode:
		return d.scalar(k, n.Value, at)
	case *ast.LiteralNode:
		return d.scalar(k, n.Value.Value, at)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return d.scalar(k, n.GetToken().Value, at)
	default:
		d.fault(at, "%s: want a value (%s), got %s", k.Path, k.Unit(), n.Type())
		return value{position: at}
	}
}

func (d *decoder) list(n ast.Node, k Key) []*section {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(positionOf(n), "%s: want a list, got %s", k.Path, n.Type())
		return nil
	}
	if c := int64(len(sequence.Values)); c < k.least || c > k.most {
		d.fault(positionOf(n), "%s has %d entries, want %s", k.Path, c, k.Range())
	}
	var list []*section
	for _, v := range sequence.Values {
		if s := d.section(v, k.Path); s != nil {
			list = append(list, s)
		}
	}
	return list
}

// scalar checks one value against its key.
func (d *decoder) scalar(k Key, text string, at *token.Position) value {
	v := value{position: at, text: text}
	var err error
	switch k.kind {
	case kindName, kindRegion:
		err = checkName(k, text)
	case kindText:
		if n := int64(utf8.RuneCountInString(text)); n < k.least || n > k.most {
			err = currantloom.ErrInput.New("has %d characters, want %s", n, k.Range())
		}
	case kindAddress:
		err = checkAddress(text)
	case kindURL:
		err = checkURL(text)
	case kindDuration:
		v.duration, err = parseDuration(k, text)
	case kindNumber:
		v.number, err = strconv.Atoi(text)
		if err != nil || int64(v.number) < k.least || int64(v.number) > k.most {
			err = currantloom.ErrInput.New("%q is not a whole number from %s", text, k.Range())
		}
	case kindLevel:
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, text) {
			err = currantloom.ErrInput.New("%q is not one of %s", text, k.Range())
		}
	}
	if err != nil {
		d.fault(at, "%s: %s", k.Path, currantloom.MessageOf(err))
	}
	return v
}

func checkName(k Key, text string) error {
	if text == "" || len(text) > maxName {
		return currantloom.ErrInput.New("name has %d bytes, want 1 to %d", len(text), maxName)
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
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return currantloom.ErrInput.New("%q is not an IP:port", text)
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || strings.TrimSuffix(text, "/") != "http://"+u.Host {
		return currantloom.ErrInput.New("%q is not a URL such as http://10.0.0.1:8500", text)
	}
	return checkAddress(u.Host)
}

func parseDuration(k Key, text string) (time.Duration, error) {
	if _, err := strconv.Atoi(text); err == nil && text != "0" {
		return 0, currantloom.ErrInput.New("%q has no unit; write it as %sms or %ss", text, text, text)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return 0, currantloom.ErrInput.New("%q is not a duration such as 500ms or 5s", text)
	}
	if int64(v) < k.least || int64(v) > k.most {
		return 0, currantloom.ErrInput.New("%s is out of range, want %s", text, k.Range())
	}
	return v, nil
}
