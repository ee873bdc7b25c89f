"""Default values of the fields of a heartbeat answer.

Most answers come from idle agents, so fields with default values are omitted to save
bandwidth. The reader of an answer has to reset an omitted field to its default.
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
"""Values of the fields that a heartbeat answer may omit."""


def omit_defaults(answer):
    """Return a heartbeat answer without the fields that have their default values.

    Examples:
        >>> omit_defaults({"state": "ready", "online": 0, "batch": 2})
        {'state': 'ready', 'batch': 2}
    """
    return {
        key: value
        for key, value in answer.items()
        if key not in REPORT_DEFAULTS or value != REPORT_DEFAULTS[key]
    }
