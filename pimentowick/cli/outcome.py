"""Exit codes and failures of commands."""

import dataclasses
import enum

from pimentowick import verdict

__all__ = ["ExitCode", "Failure", "make_refusal_failure"]


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    USAGE = 2
    """The command line, a file or a setting is invalid; nothing was sent."""
    REFUSED = 3
    """The request was refused or conflicts with another change; nothing changed."""
    UNKNOWN = 4
    """It is unknown whether the request took effect."""
    UNREACHABLE = 5
    """No entry can process the request at present; nothing changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reason for which a command failed.

    Attributes:
        exit_code: `ExitCode`.
        code: Short stable identifier of the reason.
        message: Description of the failure and of a remedy.
        retry_after: Seconds to wait before a retry, or None.
    """

    exit_code: ExitCode
    code: str
    message: str
    retry_after: float | None = None

    def to_dict(self):
        """Return the object printed with ``--json``."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "exit_code": int(self.exit_code),
                "retry_after": self.retry_after,
            }
        }


def make_refusal_failure(refusal):
    """Convert a `pimentowick.verdict.Refusal` to a `Failure`.

    Examples:
        >>> refusal = verdict.Refusal(503, "not_ready", "Try again.")
        >>> make_refusal_failure(refusal).exit_code.name
        'UNREACHABLE'
    """
    if refusal.verdict is not verdict.Verdict.NOT_RUN:
        exit_code = ExitCode.UNKNOWN
    elif refusal.status >= 500:
        exit_code = ExitCode.UNREACHABLE
    else:
        exit_code = ExitCode.REFUSED
    return Failure(exit_code, refusal.code, refusal.message, refusal.retry_after)
