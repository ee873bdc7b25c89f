"""The command line of operators and callers."""
