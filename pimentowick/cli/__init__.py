"""Command-line interface for operators and callers."""
