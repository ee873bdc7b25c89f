"""Files that hold a token."""

import os

from pimentowick.cli import base

__all__ = ["check_absent", "write_secret"]

OWNER_ONLY = 0o600


def check_absent(path):
    """Refuse a file that exists: it may hold the only copy of another token.

    Raises:
        CommandError: It exists.
    """
    if os.path.exists(path):
        base.fail_usage(f"{path}: Exists. Name a new file.")


def write_secret(path, text):
    """Write a token into a new file that only its owner can read.

    Raises:
        CommandError: The file exists or can't be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        number = os.open(path, flags, OWNER_ONLY)
        with os.fdopen(number, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    except OSError as error:
        base.fail_usage(f"{path}: {error.strerror}.")
