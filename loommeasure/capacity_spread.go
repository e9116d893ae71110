package loommeasure

import (
	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// spreadSizes are the numbers of nodes in the measures of a rules change. With 8 most regions have one node.
var spreadSizes = []int{8, 64, 256, designVMs}

func spreadMeasures() []capacityMeasure {
	return []capacityMeasure{
		{"pushes of a rules change", "messages", "node", spreadSizes, designVMs, func(n int) (float64, error) {
			r, err := spread(n)
			return float64(r.messages), err
		}},
		{"most pushes of one node, rules change", "messages", "node", spreadSizes, designVMs,
			func(n int) (float64, error) {
				r, err := spread(n)
				return float64(r.mostSent), err
			}},
		{"hops of a rules change", "hops", "node", spreadSizes, designVMs, func(n int) (float64, error) {
			r, err := spread(n)
			return float64(r.hops), err
		}},
		{"pushes between regions, rules change", "messages", "node", spreadSizes, designVMs,
			func(n int) (float64, error) {
				r, err := spread(n)
				return float64(r.distant), err
			}},
		{"watches on the rules", "watches", "node", spreadSizes, designVMs, func(n int) (float64, error) {
			r, err := spread(n)
			return float64(r.watches), err
		}},
	}
}

// spreading is the course of one change of the rules.
type spreading struct{ messages, distant, mostSent, hops, watches int }

// push is rules on their way to a node.
type push struct {
	from, to currantloom.VMName
	hop      int
}

// spread gives a change to the nodes that watch the store, and passes all pushes on, without a loss.
func spread(n int) (spreading, error) {
	b := newBench(n, 0)
	states := make(map[currantloom.VMName]*loomcore.State)
	var r spreading
	var queue []push
	for _, vm := range b.set.VMs {
		s := loomcore.New(loomcore.Config{Self: vm.Name(), Location: vm.Location()})
		states[vm.Name()] = s
		if e, ok := findEffect[loomcore.WatchRules](
			s.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: b.set})); ok && e.Enabled {
			queue = append(queue, push{to: vm.Name()})
		}
	}
	r.watches = len(queue)
	text := rulesText(4, 0)
	rules, err := loomrules.Parse(text)
	if err != nil {
		return r, err
	}
	document := currantloom.NewRulesDocument(1, "change", text)
	for ; len(queue) > 0; queue = queue[1:] {
		p := queue[0]
		e, ok := findEffect[loomcore.PushRules](states[p.to].Reduce(
			loomcore.RulesReceived{Stamp: b.stamp(), Document: document, Rules: rules, From: p.from}))
		if !ok {
			continue
		}
		r.hops = max(r.hops, p.hop+1)
		r.messages += len(e.VMs)
		r.mostSent = max(r.mostSent, len(e.VMs))
		sender, _ := states[p.to].VM(p.to)
		for _, vm := range e.VMs {
			queue = append(queue, push{from: p.to, to: vm, hop: p.hop + 1})
			if receiver, _ := states[p.to].VM(vm); receiver.Location().Region() != sender.Location().Region() {
				r.distant++
			}
		}
	}
	for name, s := range states {
		if s.Rules().Revision() != 1 {
			return r, currantloom.ErrInput.New("the change did not reach %s", name)
		}
	}
	return r, nil
}
