"""A load and experiment tool: open-loop traffic, percentiles, comparisons."""
