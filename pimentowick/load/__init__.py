"""Load generator with open-loop traffic, latency percentiles and comparisons."""
