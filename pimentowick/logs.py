"""Logging configuration."""

import sys

from loguru import logger

__all__ = ["configure_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {message}"


def configure_logs(level="INFO", json_lines=False):
    """Log to standard error.

    Args:
        level: Minimum level of the logged messages.
        json_lines: Whether to write each message as a JSON object.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=TEXT_FORMAT,
        serialize=json_lines,
        # Local variables may contain tokens and prompts.
        diagnose=False,
        backtrace=False,
    )
