"""Errors that say that the process or its host has no descriptor left."""

import errno

__all__ = ["is_exhausted"]

_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def is_exhausted(error):
    """Return whether an `OSError` says that no descriptor can be had."""
    return getattr(error, "errno", None) in _ERRORS
