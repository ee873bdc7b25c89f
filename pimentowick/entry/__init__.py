"""The daemon that takes requests from callers and operators."""
