"""Exceptions raised by pimentowick."""

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
    """Base class of the exceptions of this package."""


class SettingsError(PimentowickError):
    """A settings file is invalid; the message names the file, line and key."""


class ValidationError(PimentowickError):
    """Received data does not conform to the documented format."""


class ConflictError(PimentowickError):
    """A concurrent change, or different content with the same key, takes precedence."""


class UnavailableError(PimentowickError):
    """A peer or an external system is unreachable or did not respond in time."""


class LogError(PimentowickError):
    """Base class of the errors of the platform's log service."""


class LogUnavailableError(LogError):
    """The log service did not respond; an append may have taken effect."""


class LogThrottledError(LogError):
    """The log service rejected an append due to its rate limit."""


class LogTruncatedError(LogError):
    """Records that a reader had not read yet were removed after their retention."""


class RefusedError(PimentowickError):
    """A request was rejected or failed.

    Attributes:
        refusal: `pimentowick.verdict.Refusal` to return to the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal
