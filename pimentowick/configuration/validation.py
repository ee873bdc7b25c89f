"""Validation of untrusted JSON values."""

import math

import pydantic

from pimentowick import exception

__all__ = ["MAX_NESTING_DEPTH", "MAX_SAFE_INTEGER", "Model", "check_json", "validate"]

MAX_NESTING_DEPTH = 32
"""Maximum nesting depth of a JSON value."""
MAX_SAFE_INTEGER = 2**53
"""Largest absolute value of an integer that a double represents exactly."""
MAX_QUOTED_CHARS = 60
"""Maximum length of an invalid value quoted in an error message."""
REDACTED_KEYS = frozenset({"hash", "operators", "salt", "tokens"})
"""Keys at or below which error messages never quote a value."""


class Model(pydantic.BaseModel):
    """Base of the validated models: rejects unknown keys and type coercion."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


def validate(model, value, path_prefix=""):
    """Validate `value` against a model and return the instance.

    Args:
        model: Subclass of `Model`.
        value: JSON value.
        path_prefix: Prefix of the key paths in error messages.

    Returns:
        An instance of `model`.

    Raises:
        exception.ValidationError: If `value` is invalid; the message names the path of
            each invalid key.

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
        errors = error.errors(include_url=False, include_context=False)
    message = "; ".join(_describe_error(details, path_prefix) for details in errors)
    raise exception.ValidationError(message)


def check_json(value):
    """Raise unless all JSON parsers read `value` identically.

    Args:
        value: Value to check.

    Raises:
        exception.ValidationError: If `value` is nested too deeply or contains a
            non-finite number, an integer beyond `MAX_SAFE_INTEGER`, a string that is
            not valid Unicode, or a type that JSON does not have.
    """
    # Iterative, because the recursion limit depends on the caller's stack depth and all
    # replicas must reach the same verdict.
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


def _describe_error(details, path_prefix):
    keys = [path_prefix] if path_prefix else []
    keys.extend(str(key) for key in details["loc"])
    path = ".".join(keys) or "(top)"
    message = f"{path}: {details['msg']}"
    value = details["input"]
    if REDACTED_KEYS.intersection(keys) or isinstance(value, (dict, list)):
        return message
    if details["type"] == "missing":
        return message
    return f"{message}, got {repr(value)[:MAX_QUOTED_CHARS]}"
