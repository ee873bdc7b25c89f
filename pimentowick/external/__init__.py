"""The systems of the platform, each behind an abstract base class."""
