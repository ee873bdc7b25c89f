"""What a heartbeat answer may leave out.

Most answers come from agents that do nothing, and would say so in nine figures.
An answer that leaves one of them out says that it has the value given here; the
reader must not keep the older value then.
"""

__all__ = ["REPORT_DEFAULTS", "omit_defaults"]

REPORT_DEFAULTS = {
    "online": 0,
    "batch": 0,
    "batch_free": 0,
    "batch_served": {},
    "wait_s": 0.0,
    "entries": 1,
    "holders": 1,
    "cache_life_s": None,
    "demand": {},
}
"""What an answer that leaves a figure out says of it."""


def omit_defaults(answer):
    """Return an answer without the figures that say what their absence says.

    Examples:
        >>> omit_defaults({"state": "ready", "online": 0, "batch": 2})
        {'state': 'ready', 'batch': 2}
    """
    return {
        key: value
        for key, value in answer.items()
        if key not in REPORT_DEFAULTS or value != REPORT_DEFAULTS[key]
    }
