"""State folded from a log stream, and its copies."""
