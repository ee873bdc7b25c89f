"""Changes of documents: the records that ask for them, and their differences."""

import difflib
import secrets

import yaml

__all__ = ["diff_documents", "make_change", "redact_hashes"]

ID_BYTES = 16
HASH_SHOWN = 8


def make_change(kind, name, amends, by, body, at, client=""):
    """Build the record that asks for a change of a document.

    Args:
        kind: "template", "workspace", "fleet" or "order".
        name: Name of the document.
        amends: Version that the change was made from, 0 for a new document.
        by: Name of the operator.
        body: New body of the document.
        at: Time of the change in seconds since the epoch.
        client: Address that the change was asked from, if known.

    Returns:
        The record, with a random id by which its outcome can be found.

    Examples:
        >>> make_change("fleet", "fleet", 0, "ada", {"shards": 8}, 5.0)["amends"]
        0
    """
    return {
        "id": secrets.token_hex(ID_BYTES),
        "type": kind,
        "name": name,
        "amends": amends,
        "by": by,
        "at": at,
        "body": body,
        "client": client,
    }


def diff_documents(old_body, new_body):
    """Return the differences of two bodies as readable lines.

    Salts are left out and hashes cut short, so that the lines can be shown.

    Args:
        old_body: Body before, or None if there was none.
        new_body: Body after.

    Returns:
        Lines of a unified diff of the sorted YAML forms; empty if equal.

    Examples:
        >>> diff_documents({"shards": 8}, {"shards": 9})[-2:]
        ['-shards: 8', '+shards: 9']
    """
    old_lines = _format_lines(old_body)
    new_lines = _format_lines(new_body)
    lines = difflib.unified_diff(old_lines, new_lines, "old", "new", lineterm="")
    return list(lines)


def _format_lines(body):
    if body is None:
        return []
    text = yaml.safe_dump(redact_hashes(body), sort_keys=True, allow_unicode=True)
    return text.splitlines()


def redact_hashes(body):
    """Return a copy of a body without salts and with hashes cut short."""
    hidden = dict(body)
    for key in ("operators", "tokens"):
        if key in hidden:
            hidden[key] = [_hide_entry(entry) for entry in hidden[key]]
    return hidden


def _hide_entry(entry):
    shown = {key: value for key, value in entry.items() if key != "salt"}
    shown["hash"] = entry["hash"][:HASH_SHOWN]
    return shown
