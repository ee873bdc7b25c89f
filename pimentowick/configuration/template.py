"""Templates: trees of workspace settings with typed parameters."""

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

MAX_RENDERED_CHARS = 1_000_000
"""Maximum total length of the strings in a rendered tree."""
MAX_QUOTED_CHARS = 60
"""Maximum length of an invalid value quoted in an error message."""
NAME_PATTERN = r"[A-Za-z_][A-Za-z0-9_]{0,62}"
# The first alternative matches "$${", the escape of a literal "${".
PLACEHOLDER = re.compile(r"\$(\$\{)|\$\{([^}]*)\}")
TYPES = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
}
NUMERIC_TYPES = frozenset({"integer", "number"})


class Parameter(validation.Model):
    """One parameter of a template.

    Attributes:
        type: Name of the JSON type of the values.
        default: Value used when the workspace sets none; None makes the parameter
            required.
        minimum: Lower bound of a number, or None.
        maximum: Upper bound of a number, or None.
        help: Description of the parameter.
    """

    type: typing.Literal["string", "integer", "number", "boolean", "list"]
    default: typing.Any = None
    minimum: float | None = None
    maximum: float | None = None
    help: str = ""


class TemplateBody(validation.Model):
    """Body of a template document.

    Attributes:
        parameters: `Parameter` by name.
        workspace: Tree of settings with placeholders ``${name}``.
    """

    parameters: dict[str, Parameter] = {}
    workspace: dict[str, typing.Any]


def parse_template(body):
    """Validate the body of a template and return it as a `TemplateBody`.

    Args:
        body: JSON value from a record.

    Raises:
        exception.ValidationError: If the body is malformed, a default is invalid for
            its parameter, or a placeholder names an undeclared parameter.
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
    """Return the value of each parameter, with defaults applied.

    Args:
        template_body: A `TemplateBody`.
        parameters: Mapping from parameter names to values.

    Raises:
        exception.ValidationError: If a name is unknown, or a value is missing, has the
            wrong type or is out of bounds.
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
    """Substitute the parameters in the tree of a template.

    A string that consists of one placeholder is replaced by the value with its type.
    In a longer string or a key, the value is converted to text. ``$${`` is the escape
    of a literal ``${``.

    Args:
        template_body: A `TemplateBody`.
        parameters: Mapping from parameter names to values.

    Returns:
        A new tree without placeholders.

    Raises:
        exception.ValidationError: If a parameter is invalid; the message names the
            parameter, the expected value and the given one.

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
    """Substitutes the parameters in one tree and limits the size of the result.

    A small template may repeat a long value many times; without the limit, one record
    could exhaust the memory of every process that replays the log.
    """

    def __init__(self, values):
        self.values = values
        self.remaining_chars = MAX_RENDERED_CHARS

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
        match = PLACEHOLDER.fullmatch(text)
        if match and match[2] is not None:
            return self._copy_value(self.values[match[2]])
        return self._render_text(text)

    def _render_text(self, text):
        pieces = []
        end = 0
        for match in PLACEHOLDER.finditer(text):
            pieces.append(self._consume(text[end : match.start()]))
            pieces.append(self._consume(self._format_match(match)))
            end = match.end()
        pieces.append(self._consume(text[end:]))
        return "".join(pieces)

    def _format_match(self, match):
        if match[1] is not None:
            return match[1]
        return _format_value(match[2], self.values[match[2]])

    def _copy_value(self, value):
        if isinstance(value, list):
            self._consume(" ")
            return [self._copy_value(child) for child in value]
        if isinstance(value, dict):
            return {
                self._consume(key): self._copy_value(child)
                for key, child in value.items()
            }
        if isinstance(value, str):
            return self._consume(value)
        self._consume(" ")
        return value

    def _consume(self, text):
        self.remaining_chars -= len(text)
        if self.remaining_chars < 0:
            raise exception.ValidationError(
                f"the filled template exceeds {MAX_RENDERED_CHARS} characters"
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
        for match in PLACEHOLDER.finditer(tree):
            if match[2] is not None:
                yield match[2]
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
    if is_bounded and parameter.type not in NUMERIC_TYPES:
        raise exception.ValidationError(
            f"parameter {name}: expected no bounds for type {parameter.type}"
        )
    if parameter.default is not None:
        _check_value(name, parameter, parameter.default)


def _check_value(name, parameter, value):
    # In Python bool is a subclass of int; in JSON it is a distinct type.
    is_unexpected_bool = isinstance(value, bool) and parameter.type != "boolean"
    if is_unexpected_bool or not isinstance(value, TYPES[parameter.type]):
        quoted = repr(value)[:MAX_QUOTED_CHARS]
        raise exception.ValidationError(
            f"parameter {name}: expected {parameter.type}, got {quoted}"
        )
    if parameter.minimum is not None and value < parameter.minimum:
        raise exception.ValidationError(
            f"parameter {name}: expected at least {parameter.minimum:g}, got {value}"
        )
    if parameter.maximum is not None and value > parameter.maximum:
        raise exception.ValidationError(
            f"parameter {name}: expected at most {parameter.maximum:g}, got {value}"
        )
