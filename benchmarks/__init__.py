"""Benchmarks that print tables; all ratios compare figures of the same run."""
