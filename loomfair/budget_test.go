package loomfair

import "testing"

// TestBudgetShares guards against an organisation that fills a budget and leaves no room for the others.
func TestBudgetShares(t *testing.T) {
	b := NewBudget(100)
	large, small := 0, 0
	for b.Take("steyr", 1) {
		large++
	}
	for b.Take("enns", 1) {
		small++
	}
	if large != 50 || small != 25 {
		t.Errorf("the organisations hold %d and %d of 100, want 50 and 25", large, small)
	}
	b.Release("steyr", large)
	b.Release("enns", small)
	if b.Used() != 0 || len(b.held) != 0 {
		t.Errorf("%d of %d organisations are held after the release", b.Used(), len(b.held))
	}
}
