"""Choosing a target, retrying, limiting."""
