"""Change records of configuration documents, and diffs of their bodies."""

import difflib
import secrets

import yaml

__all__ = ["diff_documents", "make_change", "redact_hashes"]

ID_BYTES = 16
SHOWN_HASH_CHARS = 8


def make_change(kind, name, amends, by, body, at, client=""):
    """Build the log record that requests a change of a document.

    Args:
        kind: "template", "workspace", "fleet" or "order".
        name: Name of the document.
        amends: Version that the change is based on; 0 for a new document.
        by: Name of the operator.
        body: New body of the document.
        at: Time of the change in seconds since the epoch.
        client: Address of the client that requested the change, if known.

    Returns:
        The record, with a random id that identifies its audit entry.

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
    """Return a unified diff of two document bodies.

    Salts are omitted and hashes truncated, so that the diff is safe to display.

    Args:
        old_body: Previous body, or None for a new document.
        new_body: New body.

    Returns:
        Lines of a unified diff of the bodies as YAML with sorted keys; empty if the
        bodies are equal.

    Examples:
        >>> diff_documents({"shards": 8}, {"shards": 9})[-2:]
        ['-shards: 8', '+shards: 9']
    """
    old_lines = _dump_yaml_lines(old_body)
    new_lines = _dump_yaml_lines(new_body)
    lines = difflib.unified_diff(old_lines, new_lines, "old", "new", lineterm="")
    return list(lines)


def _dump_yaml_lines(body):
    if body is None:
        return []
    text = yaml.safe_dump(redact_hashes(body), sort_keys=True, allow_unicode=True)
    return text.splitlines()


def redact_hashes(body):
    """Return a copy of a body without salts and with truncated hashes."""
    redacted = dict(body)
    for key in ("operators", "tokens"):
        if key in redacted:
            redacted[key] = [
                _redact_token(stored_token) for stored_token in redacted[key]
            ]
    return redacted


def _redact_token(stored_token):
    redacted = {key: value for key, value in stored_token.items() if key != "salt"}
    redacted["hash"] = stored_token["hash"][:SHOWN_HASH_CHARS]
    return redacted
