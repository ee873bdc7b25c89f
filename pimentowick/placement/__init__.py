"""Which models each engine loads: one decider at a time, fenced orders."""
