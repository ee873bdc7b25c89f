"""Templates and workspaces, folded from the configuration stream."""
