"""Adapters for external systems, each with an abstract base class."""
