package loomfleet

import (
	"slices"
	"strconv"

	"currantloom.example/currantloom"
)

const (
	// maxPreparedStatements bounds the prepared statements that a connection holds at its upstream.
	maxPreparedStatements = 128
	// maxPreparedSize bounds the size of their definitions, in bytes. A single larger one is held alone.
	maxPreparedSize = 256 << 10
)

// preparedStatements are the prepared statements of a connection at its upstream, the least recently used one first.
//
// Their names are numbers that the connection gives out. A name holds nothing that a caller has chosen, so no
// definition is taken for another one. No name is given out twice on a connection, so none means an earlier definition.
type preparedStatements struct {
	held   []heldStatement
	size   int
	number uint64
}

// heldStatement is a prepared statement and its name at the upstream.
type heldStatement struct {
	definition currantloom.PreparedStatement
	name       string
}

// use returns the name of a prepared statement. If the upstream does not hold it, it also returns the commands that
// prepare it and that deallocate others to make room.
func (p *preparedStatements) use(definition currantloom.PreparedStatement) (string, []currantloom.Command) {
	i := slices.IndexFunc(p.held, func(h heldStatement) bool { return h.definition == definition })
	if i >= 0 {
		h := p.held[i]
		p.held = append(slices.Delete(p.held, i, i+1), h)
		return h.name, nil
	}
	commands := p.makeRoom(len(definition.Definition))
	p.number++
	h := heldStatement{definition: definition, name: "p" + strconv.FormatUint(p.number, 10)}
	p.held = append(p.held, h)
	p.size += len(definition.Definition)
	return h.name, append(commands, currantloom.Command{
		Kind: currantloom.CommandPrepare, Name: h.name, Argument: definition.Definition, Writes: definition.Writes,
	})
}

// makeRoom removes statements until another one of the size may be held, and returns the commands that deallocate them.
func (p *preparedStatements) makeRoom(size int) []currantloom.Command {
	var commands []currantloom.Command
	for len(p.held) > 0 && (len(p.held) >= maxPreparedStatements || p.size+size > maxPreparedSize) {
		oldest := p.held[0]
		p.held = slices.Delete(p.held, 0, 1)
		p.size -= len(oldest.definition.Definition)
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandDeallocate, Name: oldest.name})
	}
	return commands
}

// clear forgets all statements, because the upstream holds none any more.
func (p *preparedStatements) clear() {
	p.held, p.size = nil, 0
}
