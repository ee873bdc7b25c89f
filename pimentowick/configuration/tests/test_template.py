import hypothesis
import pytest
from hypothesis import strategies

from pimentowick import exception
from pimentowick.configuration import change, template, workspace


def make_template(tree, **parameters):
    return template.parse_template({"parameters": parameters, "workspace": tree})


@pytest.mark.parametrize(
    "declared, given, words",
    [
        ({"type": "integer"}, {}, "a: expected integer, got nothing"),
        ({"type": "integer"}, {"a": True}, "a: expected integer, got True"),
        ({"type": "integer"}, {"a": 1.5}, "a: expected integer, got 1.5"),
        ({"type": "string"}, {"a": 1}, "a: expected string, got 1"),
        ({"type": "boolean"}, {"a": 0}, "a: expected boolean, got 0"),
        ({"type": "number", "minimum": 2}, {"a": 1}, "a: expected at least 2, got 1"),
        ({"type": "number", "maximum": 2}, {"a": 3}, "a: expected at most 2, got 3"),
        ({"type": "string"}, {"a": "", "b": 1}, "b: expected one of ['a']"),
        ({"type": "list"}, {"a": [1]}, "a: expected a scalar within text"),
    ],
)
def test_wrong_parameters_are_explained(declared, given, words):
    body = make_template({"x": "is ${a}"}, a=declared)
    with pytest.raises(exception.ValidationError) as caught:
        template.render_workspace(body, given)
    assert words in str(caught.value)


@pytest.mark.parametrize(
    "declared",
    [
        {"type": "integer", "default": "x"},
        {"type": "integer", "default": 3, "maximum": 2},
        {"type": "string", "minimum": 2},
        {"type": "float"},
        {"type": "string", "hint": "x"},
    ],
)
def test_wrong_declarations_are_refused(declared):
    with pytest.raises(exception.ValidationError):
        make_template({}, a=declared)


def test_values_keep_their_type_and_escapes_stay():
    tree = {"m-${a}": ["${a}", "${l}", "$${a}", "$5", "${b}!"], "n": None}
    kinds = {"a": "integer", "l": "list", "b": "boolean"}
    body = make_template(tree, **{name: {"type": kinds[name]} for name in kinds})
    filled = template.render_workspace(body, {"a": 3, "l": ["${a}"], "b": True})
    assert filled == {"m-3": [3, ["${a}"], "${a}", "$5", "true!"], "n": None}


def test_rendered_size_is_limited():
    """A template repeats a long parameter thousands of times. Without a limit, every
    process that replays the log would run out of memory at this record.
    """
    body = make_template({"x": ["${a}"] * 2000}, a={"type": "string"})
    with pytest.raises(exception.ValidationError, match="exceeds"):
        template.render_workspace(body, {"a": "y" * 10_000})


def test_rendered_keys_must_be_unique():
    body = make_template({"${a}": 1, "x": 2}, a={"type": "string"})
    with pytest.raises(exception.ValidationError, match="occurs twice"):
        template.render_workspace(body, {"a": "x"})


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text())
def test_any_string_passes_through(value):
    body = make_template({"x": "${a}", "y": "<${a}>"}, a={"type": "string"})
    filled = template.render_workspace(body, {"a": value})
    assert filled == {"x": value, "y": f"<{value}>"}


@pytest.mark.parametrize(
    "tree, path",
    [
        ({"wait": 1}, "workspace.wait"),
        ({"models": {"m": {"max_tokens": "9"}}}, "workspace.models.m.max_tokens"),
        ({"services": {"s": {"deadline_s": 0}}}, "workspace.services.s.deadline_s"),
        ({"weight": 0}, "workspace.weight"),
        ({"batch_harm": "none"}, "workspace.batch_harm"),
    ],
)
def test_errors_hold_the_key_path(tree, path):
    with pytest.raises(exception.ValidationError, match=path):
        workspace.parse_workspace("one", 1, tree, {}, False)


def test_change_record_and_diff():
    first = change.make_change("fleet", "fleet", 0, "ada", {}, 1.0)
    second = change.make_change("fleet", "fleet", 0, "ada", {}, 1.0)
    assert first["id"] != second["id"]
    stored_token = {"id": "abcd", "salt": "5a17" * 8, "hash": "ef" * 32}
    lines = change.diff_documents(None, {"tokens": [stored_token]})
    assert "+- hash: efefefef" in lines
    assert not any("5a17" in line for line in lines)
    assert change.diff_documents({"a": 1, "b": 2}, {"b": 2, "a": 1}) == []
