"""Templates: trees of settings with parameters to fill in."""

import re
import typing

from pimentowick import exception
from pimentowick.configuration import validation

__all__ = [
    "Parameter",
    "TemplateBody",
    "parse_template",
    "render_workspace",
    "resolve_parameters",
]

RENDERED_LIMIT = 1_000_000
"""Characters that a filled tree may hold."""
SHOWN_LENGTH = 60
NAME_PATTERN = r"[A-Za-z_][A-Za-z0-9_]{0,62}"
# The first branch takes "$${" as an escaped "${".
PLACEHOLDER = re.compile(r"\$(\$\{)|\$\{([^}]*)\}")
TYPES = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
}
BOUNDED_TYPES = frozenset({"integer", "number"})


class Parameter(validation.Model):
    """One parameter of a template.

    Attributes:
        type: Name of the JSON type of its values.
        default: Value if a workspace gives none; required if None.
        minimum: Least value of a number, or None.
        maximum: Greatest value of a number, or None.
        help: What the parameter is for.
    """

    type: typing.Literal["string", "integer", "number", "boolean", "list"]
    default: typing.Any = None
    minimum: float | None = None
    maximum: float | None = None
    help: str = ""


class TemplateBody(validation.Model):
    """Body of a template document.

    Attributes:
        parameters: The `Parameter` of each name.
        workspace: Tree of settings with placeholders ``${name}``.
    """

    parameters: dict[str, Parameter] = {}
    workspace: dict[str, typing.Any]


def parse_template(body):
    """Check the body of a template and return it as a `TemplateBody`.

    Args:
        body: JSON value from a record.

    Raises:
        exception.ValidationError: If it lacks the documented form, a default
            does not fit its parameter, or a placeholder names no parameter.
    """
    parsed = validation.validate(TemplateBody, body)
    for name, parameter in parsed.parameters.items():
        _check_declaration(name, parameter)
    for name in _find_placeholders(parsed.workspace):
        if name not in parsed.parameters:
            raise exception.ValidationError(
                f"placeholder ${{{name}}}: expected one of the parameters "
                f"{sorted(parsed.parameters)}"
            )
    return parsed


def resolve_parameters(template_body, parameters):
    """Return the value of each parameter, defaults filled in.

    Args:
        template_body: A `TemplateBody`.
        parameters: Mapping from parameter names to given values.

    Raises:
        exception.ValidationError: If a name is unknown, or a value is missing,
            has the wrong type or is out of bounds.
    """
    declared = template_body.parameters
    for name in parameters:
        if name not in declared:
            raise exception.ValidationError(
                f"parameter {name}: expected one of {sorted(declared)}, "
                "got an unknown name"
            )
    values = {}
    for name, parameter in declared.items():
        value = parameters.get(name, parameter.default)
        if value is None:
            raise exception.ValidationError(
                f"parameter {name}: expected {parameter.type}, got nothing"
            )
        _check_value(name, parameter, value)
        values[name] = value
    return values


def render_workspace(template_body, parameters):
    """Fill in the tree of a template.

    A string that is one placeholder becomes the value itself, with its type.
    Within a longer string or a key, the value becomes text. ``$${`` stands for
    a literal ``${``.

    Args:
        template_body: A `TemplateBody`.
        parameters: Mapping from parameter names to values.

    Returns:
        A new tree without placeholders.

    Raises:
        exception.ValidationError: If the parameters do not fit; the message
            names the parameter, what was expected and what came.

    Examples:
        >>> body = parse_template(
        ...     {
        ...         "parameters": {"size": {"type": "integer", "maximum": 9}},
        ...         "workspace": {"limit": "${size}", "model": "m-${size}b"},
        ...     }
        ... )
        >>> render_workspace(body, {"size": 7})
        {'limit': 7, 'model': 'm-7b'}
        >>> render_workspace(body, {"size": 70})
        Traceback (most recent call last):
        ...
        pimentowick.exception.ValidationError: parameter size: expected at most 9, \
got 70
    """
    values = resolve_parameters(template_body, parameters)
    return _Renderer(values).render_tree(template_body.workspace)


class _Renderer:
    """Fills in one tree and bounds what comes out.

    A small template may repeat a long value many times; without the bound one
    record could take the memory of every reader.
    """

    def __init__(self, values):
        self.values = values
        self.remaining = RENDERED_LIMIT

    def render_tree(self, tree):
        if isinstance(tree, dict):
            return self._render_mapping(tree)
        if isinstance(tree, list):
            return [self.render_tree(child) for child in tree]
        if isinstance(tree, str):
            return self._render_string(tree)
        return tree

    def _render_mapping(self, tree):
        rendered = {}
        for key, child in tree.items():
            new_key = self._render_text(key)
            if new_key in rendered:
                raise exception.ValidationError(f"key {new_key!r} occurs twice")
            rendered[new_key] = self.render_tree(child)
        return rendered

    def _render_string(self, text):
        found = PLACEHOLDER.fullmatch(text)
        if found and found[2] is not None:
            return self._copy_value(self.values[found[2]])
        return self._render_text(text)

    def _render_text(self, text):
        pieces = []
        end = 0
        for found in PLACEHOLDER.finditer(text):
            pieces.append(self._spend(text[end : found.start()]))
            pieces.append(self._spend(self._format_match(found)))
            end = found.end()
        pieces.append(self._spend(text[end:]))
        return "".join(pieces)

    def _format_match(self, found):
        if found[1] is not None:
            return found[1]
        return _format_value(found[2], self.values[found[2]])

    def _copy_value(self, value):
        if isinstance(value, list):
            self._spend(" ")
            return [self._copy_value(child) for child in value]
        if isinstance(value, dict):
            return {
                self._spend(key): self._copy_value(child)
                for key, child in value.items()
            }
        if isinstance(value, str):
            return self._spend(value)
        self._spend(" ")
        return value

    def _spend(self, text):
        self.remaining -= len(text)
        if self.remaining < 0:
            raise exception.ValidationError(
                f"the filled template exceeds {RENDERED_LIMIT} characters"
            )
        return text


def _format_value(name, value):
    if isinstance(value, list):
        raise exception.ValidationError(
            f"parameter {name}: expected a scalar within text, got a list"
        )
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _find_placeholders(tree):
    if isinstance(tree, str):
        for found in PLACEHOLDER.finditer(tree):
            if found[2] is not None:
                yield found[2]
    elif isinstance(tree, dict):
        for key, child in tree.items():
            yield from _find_placeholders(key)
            yield from _find_placeholders(child)
    elif isinstance(tree, list):
        for child in tree:
            yield from _find_placeholders(child)


def _check_declaration(name, parameter):
    if not re.fullmatch(NAME_PATTERN, name):
        raise exception.ValidationError(
            f"parameter {name!r}: expected a name of letters, digits and _"
        )
    is_bounded = parameter.minimum is not None or parameter.maximum is not None
    if is_bounded and parameter.type not in BOUNDED_TYPES:
        raise exception.ValidationError(
            f"parameter {name}: expected no bounds for type {parameter.type}"
        )
    if parameter.default is not None:
        _check_value(name, parameter, parameter.default)


def _check_value(name, parameter, value):
    # Python counts True as an integer, JSON doesn't.
    is_misread = isinstance(value, bool) and parameter.type != "boolean"
    if is_misread or not isinstance(value, TYPES[parameter.type]):
        shown = repr(value)[:SHOWN_LENGTH]
        raise exception.ValidationError(
            f"parameter {name}: expected {parameter.type}, got {shown}"
        )
    if parameter.minimum is not None and value < parameter.minimum:
        raise exception.ValidationError(
            f"parameter {name}: expected at least {parameter.minimum:g}, got {value}"
        )
    if parameter.maximum is not None and value > parameter.maximum:
        raise exception.ValidationError(
            f"parameter {name}: expected at most {parameter.maximum:g}, got {value}"
        )
