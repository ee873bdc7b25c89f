"""Generates the settings reference from the pydantic models."""

import types
import typing

import annotated_types
import pydantic_core

from pimentowick import settings

__all__ = ["format_reference"]

PAGE_HEADER = """# Settings

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
    """Return the settings reference in Markdown."""
    parts = [PAGE_HEADER]
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
    """Return the YAML name of a type.

    Examples:
        >>> _format_type(str | None), _format_type(list[int])
        ('string or absent', 'list of integer')
    """
    type_names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    if annotation in type_names:
        return type_names[annotation]
    origin = typing.get_origin(annotation)
    type_arguments = typing.get_args(annotation)
    if origin is list:
        return f"list of {_format_type(type_arguments[0])}"
    if origin in (types.UnionType, typing.Union):
        return " or ".join(map(_format_type, type_arguments))
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
        f"{phrase} {getattr(constraint, attribute):g}"
        for constraint in field.metadata
        for constraint_type, attribute, phrase in BOUNDS
        if isinstance(constraint, constraint_type)
    ]
    return ", ".join(texts)
