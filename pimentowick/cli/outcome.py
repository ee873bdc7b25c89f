"""How a command ends: its exit code, and why it failed."""

import dataclasses
import enum

from pimentowick import verdict

__all__ = ["ExitCode", "Failure", "explain_refusal"]


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    USAGE = 2
    """The command line, a file or a setting is wrong; nothing was sent."""
    REFUSED = 3
    """The fleet refused, or another change came first; nothing was changed."""
    UNKNOWN = 4
    """It is not known whether the command took effect."""
    UNREACHABLE = 5
    """No entry takes the request now; nothing was changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why a command has no result.

    Attributes:
        exit_code: `ExitCode`.
        code: Short stable identifier of the reason.
        message: What happened, and what to do.
        retry_after: Seconds after which a new try makes sense, or None.
    """

    exit_code: ExitCode
    code: str
    message: str
    retry_after: float | None = None

    def to_dict(self):
        """Return the JSON form that ``--json`` prints."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "exit_code": int(self.exit_code),
                "retry_after": self.retry_after,
            }
        }


def explain_refusal(refusal):
    """Return the `Failure` for a refusal of the fleet.

    Examples:
        >>> refused = verdict.Refusal(503, "not_ready", "Try again.")
        >>> explain_refusal(refused).exit_code.name
        'UNREACHABLE'
    """
    if refusal.verdict is not verdict.Verdict.NOT_RUN:
        exit_code = ExitCode.UNKNOWN
    elif refusal.status >= 500:
        exit_code = ExitCode.UNREACHABLE
    else:
        exit_code = ExitCode.REFUSED
    return Failure(exit_code, refusal.code, refusal.message, refusal.retry_after)
