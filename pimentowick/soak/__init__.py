"""Soak test with fault injection: runs gateway processes and checks invariants."""
