"""Measurements, printed as tables; ratios are of one run."""
