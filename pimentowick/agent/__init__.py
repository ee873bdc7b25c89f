"""The daemon beside each target."""
