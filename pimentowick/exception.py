"""The exceptions that pimentowick raises, as one family."""

__all__ = [
    "ConflictError",
    "LogError",
    "LogThrottledError",
    "LogTruncatedError",
    "LogUnavailableError",
    "PimentowickError",
    "RefusedError",
    "SettingsError",
    "UnavailableError",
    "ValidationError",
]


class PimentowickError(Exception):
    """Base class of all errors of this package."""


class SettingsError(PimentowickError):
    """A settings file is wrong; the message names file, place and key."""


class ValidationError(PimentowickError):
    """Input from outside does not have the documented form."""


class ConflictError(PimentowickError):
    """Another change, or other content under the same key, came first."""


class UnavailableError(PimentowickError):
    """A peer or outside system did not answer in time."""


class LogError(PimentowickError):
    """Base class of the errors of the platform's log."""


class LogUnavailableError(LogError):
    """The log gave no answer; an append may have taken effect."""


class LogThrottledError(LogError):
    """The log refused an append because of its rate; it had no effect."""


class LogTruncatedError(LogError):
    """Records that a reader still needed have passed out of retention."""


class RefusedError(PimentowickError):
    """A request was refused or failed; carries the refusal.

    Attributes:
        refusal: The `pimentowick.verdict.Refusal` to show to the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal
