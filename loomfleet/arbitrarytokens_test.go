package loomfleet

import "currantloom.example/currantloom"

func (a arbitrary) organisation() currantloom.OrganisationName {
	return pick(a, limitedOrganisation, freeOrganisation, "", "unknown")
}

func (a arbitrary) count() int { return pick(a, 0, 1, 5, 1_000_000_000, a.IntN(100)) }

func (a arbitrary) tokenRequest() currantloom.TokenRequest {
	m := currantloom.TokenRequest{
		Incarnation: a.Uint64N(3), Shard: a.count(), Shards: pick(a, 0, 1, 2, a.count()), Sent: a.duration(),
		Fresh: a.IntN(2) > 0, Full: a.IntN(2) > 0, Epoch: a.Uint64N(3), Answer: a.duration(), Elapsed: a.duration(),
	}
	if a.IntN(3) > 0 {
		m.Shard, m.Shards = 0, 1
	}
	for range a.IntN(4) {
		m.Demands = append(m.Demands, currantloom.TokenDemand{
			Organisation: a.organisation(), Waiting: a.count(), Urgent: a.count(), Wanted: a.count(), Returned: a.count(),
			Outstanding: a.count(), Share: uint32(a.count()), HandedOver: a.duration(), Pooled: a.IntN(2) > 0,
			Reserve: a.IntN(2) > 0, Rate: uint32(a.count()),
		})
	}
	return m
}

func (a arbitrary) tokenAnswer() currantloom.TokenAnswer {
	m := currantloom.TokenAnswer{
		Shard: a.count(), Shards: pick(a, 0, 1, a.count()), Epoch: a.Uint64N(3), Time: a.duration(), Asked: a.duration(),
		Review: a.IntN(2) > 0,
	}
	if a.IntN(3) > 0 {
		m.Shard, m.Shards = 0, 1
	}
	for range a.IntN(4) {
		m.Grants = append(m.Grants, currantloom.TokenGrant{
			Organisation: a.organisation(), Tokens: a.count(), Refused: a.count(), RetryAfter: a.duration(),
			Share: uint32(a.count()),
		})
	}
	return m
}
