"""Writes token files."""

import os

from pimentowick.cli import base

__all__ = ["check_absent", "write_secret"]

OWNER_ONLY_MODE = 0o600


def check_absent(path):
    """Check that a file doesn't exist, so that no other token is overwritten.

    Raises:
        CommandError: The file exists.
    """
    if os.path.exists(path):
        base.raise_usage_error(f"{path}: File exists; choose another path.")


def write_secret(path, token):
    """Write a token to a new file that is readable only by its owner.

    Raises:
        CommandError: The file exists or can't be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, OWNER_ONLY_MODE)
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(token + "\n")
    except OSError as error:
        base.raise_usage_error(f"{path}: {error.strerror}.")
