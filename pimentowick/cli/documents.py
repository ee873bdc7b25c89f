"""Fetches, compares and publishes configuration documents."""

from pimentowick.cli import base
from pimentowick.configuration import change, document

__all__ = [
    "FILE_ARGUMENT",
    "KIND_ARGUMENT",
    "NAME_ARGUMENT",
    "check_kind",
    "complete_body",
    "confirm_publish",
    "edit_workspace",
    "fetch_body",
    "fetch_document",
    "publish_document",
    "show_diff",
]

KIND_ARGUMENT = base.make_argument("kind", "template, workspace or fleet.")
NAME_ARGUMENT = base.make_argument("name", "Name of the document; fleet for the fleet.")
FILE_ARGUMENT = base.make_argument(
    "file", "YAML or JSON file of the body; - for stdin."
)
PUBLISH_TIMEOUT_S = 30.0


def check_kind(kind):
    """Check that a document kind is known.

    Raises:
        CommandError: The kind is not template, workspace or fleet.
    """
    if kind not in document.KINDS:
        base.raise_usage_error(f"{kind}: Expected template, workspace or fleet.")


async def fetch_document(client, kind, name):
    """Fetch the current version of a document.

    Raises:
        CommandError: The document doesn't exist or the request fails.
    """
    check_kind(kind)
    return base.unwrap(await client.fetch_json("GET", f"/v1/admin/{kind}/{name}"))


async def fetch_body(client, kind, name):
    """Fetch the current version number and body; ``(0, None)`` if there is none."""
    check_kind(kind)
    response = await client.fetch_json("GET", f"/v1/admin/{kind}/{name}")
    if response.map(bool).value_or(False):
        current = response.unwrap()
        return current["version"], current["body"]
    if response.failure().code == "unknown":
        return 0, None
    base.unwrap(response)
    raise AssertionError("unreachable: unwrap raises CommandError for a failure")


async def complete_body(client, kind, body, current):
    """Add defaults for the fields that a body from a file leaves out.

    ``tokens`` of a workspace and ``operators`` of the fleet default to the current
    ones, so that a file without them revokes no access. ``template_version`` of a
    workspace defaults to the current version of its template.

    Args:
        client: `pimentowick.cli.connection.FleetClient`.
        kind: "template", "workspace" or "fleet".
        body: Body read from the file.
        current: Body of the current version, or None for a new document.
    """
    body = dict(body)
    if kind == "fleet" and "operators" not in body:
        body["operators"] = (current or {}).get("operators", [])
    if kind != "workspace":
        return body
    if "tokens" not in body:
        body["tokens"] = (current or {}).get("tokens", [])
    if "template_version" not in body and isinstance(body.get("template"), str):
        template = await fetch_document(client, "template", body["template"])
        body["template_version"] = template["version"]
    return body


def show_diff(command, old_body, new_body):
    """Print a diff of two bodies and return whether they differ."""
    lines = change.diff_documents(old_body, new_body)
    if not command.option("json"):
        command.show_text("\n".join(lines) if lines else "No differences.")
    return bool(lines)


def confirm_publish(command, question):
    """Ask for confirmation before publishing.

    Raises:
        CommandError: The user declines, or the session is not interactive.
    """
    if not command.confirm_change(question):
        base.raise_usage_error("Cancelled; nothing was published.")


async def publish_document(command, client, kind, name, base_version, body):
    """Publish a body and print the resulting version.

    Raises:
        CommandError: The change was refused, or its outcome is unknown.
    """
    message = {"amends": base_version, "body": body, "wait": True}
    path = f"/v1/admin/{kind}/{name}"
    put_result = await client.fetch_json(
        "PUT", path, message, timeout_s=PUBLISH_TIMEOUT_S
    )
    response = base.unwrap(put_result)
    command.show(
        {"kind": kind, "name": name, **response},
        f"Version {response['version']} of {kind} {name} is in force at"
        f" {response['in_force']} of {response['of']} entries.",
    )


async def edit_workspace(command, client, name, edit):
    """Edit the body of a workspace, ask for confirmation and publish it.

    Args:
        command: Command used for output and confirmation.
        client: `pimentowick.cli.connection.FleetClient`.
        name: Name of the workspace.
        edit: Function that takes the current body and returns the new one.

    Raises:
        CommandError: The change was refused, or its outcome is unknown.
    """
    current = await fetch_document(client, "workspace", name)
    body = edit(dict(current["body"]))
    if not show_diff(command, current["body"], body):
        return
    confirm_publish(command, "Publish this change?")
    await publish_document(command, client, "workspace", name, current["version"], body)
