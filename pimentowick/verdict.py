"""Verdicts on whether a request was executed, and error responses that carry them."""

import dataclasses
import enum
import math

__all__ = ["Refusal", "Verdict", "combine", "make_deadline_refusal"]

DEADLINE_RETRY_AFTER_S = 1.0


class Verdict(enum.StrEnum):
    """Whether a request was executed at its target, as far as known."""

    NOT_RUN = "not_run"
    """No part of the request can have reached the target; a retry is safe."""
    MAY_HAVE_RUN = "may_have_run"
    """The request may have reached the target; its outcome is unknown."""
    RAN = "ran"
    """The target responded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Error response to a request that was rejected or failed.

    Attributes:
        status: HTTP status.
        code: Stable, machine-readable error code.
        message: Human-readable explanation with advice.
        verdict: Whether the request may have been executed.
        retry_after: Recommended delay before a retry, in seconds, or None.
    """

    status: int
    code: str
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float | None = None

    def to_dict(self):
        """Return the JSON representation sent to callers and peers.

        Examples:
            >>> Refusal(429, "busy", "Try again later.", retry_after=1.5).to_dict()[
            ...     "error"
            ... ]["verdict"]
            'not_run'
        """
        error = {
            "code": self.code,
            "message": self.message,
            "type": self.code,
            "verdict": str(self.verdict),
        }
        if self.retry_after is not None:
            error["retry_after"] = self.retry_after
        return {"status": self.status, "error": error}

    @classmethod
    def from_dict(cls, data):
        """Return the refusal for a dictionary made by `to_dict`."""
        error = data["error"]
        return cls(
            status=int(data.get("status", 503)),
            code=error["code"],
            message=error["message"],
            verdict=Verdict(error["verdict"]),
            retry_after=error.get("retry_after"),
        )

    def make_headers(self):
        """Return the HTTP headers of the response.

        Examples:
            >>> Refusal(429, "busy", "Try again later.", retry_after=1.2).make_headers()
            {'Retry-After': '2'}
        """
        if self.retry_after is None:
            return {}
        return {"Retry-After": str(max(1, math.ceil(self.retry_after)))}


def make_deadline_refusal(outcome):
    """Return the refusal of a request whose deadline has passed.

    Args:
        outcome: `Verdict` on the request.
    """
    return Refusal(
        504,
        "deadline_passed",
        "There was no whole answer by the deadline. Allow more time.",
        outcome,
        DEADLINE_RETRY_AFTER_S,
    )


def combine(verdicts):
    """Return the verdict on a request, given the verdicts on its attempts.

    Examples:
        >>> combine([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
        <Verdict.MAY_HAVE_RUN: 'may_have_run'>
        >>> combine([])
        <Verdict.NOT_RUN: 'not_run'>
    """
    distinct = set(verdicts)
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in distinct:
            return verdict
    return Verdict.NOT_RUN
