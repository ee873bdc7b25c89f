"""State machines replicated through log streams, and their checkpoints."""
