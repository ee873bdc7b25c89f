"""The reference of the settings, made from their models."""

import types
import typing

import annotated_types
import pydantic_core

from pimentowick import settings

__all__ = ["format_reference"]

HEAD = """# Settings

Made by `pimentowick settings reference > docs/SETTINGS.md`; a test keeps it so.
Settings are YAML files, checked whole before anything starts: `pimentowick settings
check entry FILE`. Names that end in `_s` are seconds, `_bytes` bytes. Unknown keys are
errors. Commented examples stand in `deployments/`.
"""
SECTIONS = (
    ("Entry", settings.EntrySettings),
    ("Agent", settings.AgentSettings),
    ("platform", settings.PlatformSettings),
    ("target", settings.TargetSettings),
    ("operators", settings.OperatorSettings),
    ("tls", settings.TlsSettings),
)
BOUNDS = (
    (annotated_types.Gt, "gt", "above"),
    (annotated_types.Ge, "ge", "at least"),
    (annotated_types.Lt, "lt", "below"),
    (annotated_types.Le, "le", "at most"),
)


def format_reference():
    """Return the page as Markdown."""
    parts = [HEAD]
    for title, model in SECTIONS:
        parts.append(_format_section(title, model))
    return "\n".join(parts).rstrip("\n")


def _format_section(title, model):
    lines = [
        f"## {title}",
        "",
        model.__doc__.strip().splitlines()[0],
        "",
        "| key | type | default | bounds | meaning |",
        "|-----|------|---------|--------|---------|",
    ]
    for name, field in model.model_fields.items():
        cells = (
            f"`{name}`",
            _format_type(field.annotation),
            _format_default(field),
            _format_bounds(field),
            field.description or "See below.",
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join([*lines, ""])


def _format_type(annotation):
    """Return the name of a type as YAML users know it.

    Examples:
        >>> _format_type(str | None), _format_type(list[int])
        ('string or absent', 'list of integer')
    """
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    if annotation in names:
        return names[annotation]
    origin = typing.get_origin(annotation)
    parts = typing.get_args(annotation)
    if origin is list:
        return f"list of {_format_type(parts[0])}"
    if origin in (types.UnionType, typing.Union):
        return " or ".join(map(_format_type, parts))
    return "absent" if annotation is type(None) else "mapping"


def _format_default(field):
    if field.default is pydantic_core.PydanticUndefined:
        return "required"
    if field.default is None:
        return "absent"
    if isinstance(field.default, bool):
        return "true" if field.default else "false"
    return f"`{field.default}`"


def _format_bounds(field):
    texts = [
        f"{word} {getattr(item, attribute):g}"
        for item in field.metadata
        for kind, attribute, word in BOUNDS
        if isinstance(item, kind)
    ]
    return ", ".join(texts)
