"""Logging: short sentences with a fixed prefix for each part."""

import sys

from loguru import logger

__all__ = ["configure_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {message}"


def configure_logs(level="INFO", json_lines=False):
    """Send the log to standard error.

    Args:
        level: Least level that is shown.
        json_lines: Whether each line is a JSON object.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=TEXT_FORMAT,
        serialize=json_lines,
        # Values of local variables may hold tokens and prompts.
        diagnose=False,
        backtrace=False,
    )
