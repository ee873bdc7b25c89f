"""Whether a request may have run, and the refusals that state it."""

import dataclasses
import enum
import math

__all__ = ["Refusal", "Verdict", "combine", "make_deadline_refusal"]

# A request that came too late for its own deadline may come again at once.
EXPIRED_RETRY_AFTER_S = 1.0


class Verdict(enum.StrEnum):
    """What is known about the effect of a request at its target."""

    NOT_RUN = "not_run"
    """No byte of the request can have reached the target."""
    MAY_HAVE_RUN = "may_have_run"
    """The request may have reached the target; its effect is unknown."""
    RAN = "ran"
    """The target answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that says why a request has no result.

    Attributes:
        status: HTTP status towards the caller.
        code: Short stable identifier of the reason.
        message: A sentence that says what to do.
        verdict: Whether the request may have run.
        retry_after: Seconds after which a new try makes sense, or None.
    """

    status: int
    code: str
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float | None = None

    def to_dict(self):
        """Return the JSON form that callers and peers receive.

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
        """Return the refusal that `to_dict` wrote."""
        error = data["error"]
        return cls(
            status=int(data.get("status", 503)),
            code=error["code"],
            message=error["message"],
            verdict=Verdict(error["verdict"]),
            retry_after=error.get("retry_after"),
        )

    def headers(self):
        """Return the HTTP headers that go with the refusal.

        Examples:
            >>> Refusal(429, "busy", "Try again later.", retry_after=1.2).headers()
            {'Retry-After': '2'}
        """
        if self.retry_after is None:
            return {}
        return {"Retry-After": str(max(1, math.ceil(self.retry_after)))}


def make_deadline_refusal(found):
    """Return the refusal of a request whose deadline has passed.

    Args:
        found: `Verdict` on the request.
    """
    return Refusal(
        504,
        "deadline_passed",
        "There was no whole answer by the deadline. Allow more time.",
        found,
        EXPIRED_RETRY_AFTER_S,
    )


def combine(verdicts):
    """Return the verdict on a request from those of its attempts.

    Examples:
        >>> combine([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
        <Verdict.MAY_HAVE_RUN: 'may_have_run'>
        >>> combine([])
        <Verdict.NOT_RUN: 'not_run'>
    """
    found = set(verdicts)
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in found:
            return verdict
    return Verdict.NOT_RUN
