"""The gateway entry, which calls targets directly and needs no host state."""
