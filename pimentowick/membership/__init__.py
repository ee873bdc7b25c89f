"""Which hosts and targets take work."""
