"""What an agent admits to its target, and in which order."""
