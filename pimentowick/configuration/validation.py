"""Checks of JSON values that come from outside, with readable errors."""

import math

import pydantic

from pimentowick import exception

__all__ = ["MAX_NESTING_DEPTH", "MAX_SAFE_INTEGER", "Model", "check_json", "validate"]

MAX_NESTING_DEPTH = 32
"""Levels of nesting that a value may have."""
MAX_SAFE_INTEGER = 2**53
"""Largest absolute value of an integer that every JSON reader keeps exactly."""
SHOWN_LENGTH = 60
"""Characters of a wrong value that an error shows."""
HIDDEN_KEYS = frozenset({"hash", "operators", "salt", "tokens"})
"""Keys below which errors never show a value."""


class Model(pydantic.BaseModel):
    """Base of all border models: no unknown keys, no conversion of types."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


def validate(model, value, place=""):
    """Return `value` as an instance of a border model.

    Args:
        model: Subclass of `Model`.
        value: JSON value.
        place: Prefix of the key paths in errors.

    Returns:
        The instance of `model`.

    Raises:
        exception.ValidationError: If `value` does not fit; the message names
            each wrong key with its path.

    Examples:
        >>> class Size(Model):
        ...     width: int
        >>> validate(Size, {"width": "far"}, "size")
        Traceback (most recent call last):
        ...
        pimentowick.exception.ValidationError: size.width: Input should be a valid \
integer, got 'far'
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        found = error.errors(include_url=False, include_context=False)
    message = "; ".join(_describe_error(item, place) for item in found)
    raise exception.ValidationError(message)


def check_json(value):
    """Raise unless every JSON reader understands `value` in the same way.

    Args:
        value: Value to check.

    Raises:
        exception.ValidationError: If it is nested too deep, or holds a number
            that is not finite or too large, broken text, or no JSON type.
    """
    # A list of open values instead of recursion: how deep a reader may recurse
    # depends on its stack, and all readers have to decide alike.
    pending = [(value, 0)]
    while pending:
        current, depth = pending.pop()
        if depth > MAX_NESTING_DEPTH:
            raise exception.ValidationError(
                f"nested deeper than {MAX_NESTING_DEPTH} levels"
            )
        if isinstance(current, dict):
            for key in current:
                _check_key(key)
            pending.extend((child, depth + 1) for child in current.values())
        elif isinstance(current, list):
            pending.extend((child, depth + 1) for child in current)
        else:
            _check_scalar(current)


def _check_key(key):
    if not isinstance(key, str):
        raise exception.ValidationError("a key is no string")
    _check_scalar(key)


def _check_scalar(value):
    if value is None or isinstance(value, bool):
        return
    if isinstance(value, int):
        if abs(value) > MAX_SAFE_INTEGER:
            raise exception.ValidationError("an integer is beyond 2**53")
    elif isinstance(value, float):
        if not math.isfinite(value):
            raise exception.ValidationError("a number is not finite")
    elif isinstance(value, str):
        _check_text(value)
    else:
        raise exception.ValidationError(f"{type(value).__name__} is no JSON type")


def _check_text(text):
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        raise exception.ValidationError("a string is not valid Unicode") from None


def _describe_error(item, place):
    keys = [place] if place else []
    keys.extend(str(key) for key in item["loc"])
    path = ".".join(keys) or "(top)"
    message = f"{path}: {item['msg']}"
    value = item["input"]
    if HIDDEN_KEYS.intersection(keys) or isinstance(value, (dict, list)):
        return message
    if item["type"] == "missing":
        return message
    return f"{message}, got {repr(value)[:SHOWN_LENGTH]}"
