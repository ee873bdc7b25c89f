"""Looking documents up, and changing them with the difference shown first."""

from pimentowick.cli import base
from pimentowick.configuration import change, document

__all__ = [
    "FILE_ARGUMENT",
    "KIND_ARGUMENT",
    "NAME_ARGUMENT",
    "ask_to_publish",
    "change_workspace",
    "check_kind",
    "fetch_body",
    "fetch_document",
    "fill_body",
    "put_document",
    "show_difference",
]

KIND_ARGUMENT = base.get_argument("kind", "template, workspace or fleet.")
NAME_ARGUMENT = base.get_argument("name", "Name of the document; fleet for the fleet.")
FILE_ARGUMENT = base.get_argument("file", "YAML or JSON file of the body; - for stdin.")
PUT_TIMEOUT_S = 30.0


def check_kind(kind):
    """Refuse an unknown kind.

    Raises:
        CommandError: It is none of the three.
    """
    if kind not in document.KINDS:
        base.fail_usage(f"{kind}: Expected template, workspace or fleet.")


async def fetch_document(link, kind, name):
    """Return the document in force.

    Raises:
        CommandError: There is none, or no entry answered.
    """
    check_kind(kind)
    return base.unwrap(await link.fetch_json("GET", f"/v1/admin/{kind}/{name}"))


async def fetch_body(link, kind, name):
    """Return version and body in force; ``(0, None)`` if there is no document."""
    check_kind(kind)
    found = await link.fetch_json("GET", f"/v1/admin/{kind}/{name}")
    if found.map(bool).value_or(False):
        in_force = found.unwrap()
        return in_force["version"], in_force["body"]
    if found.failure().code == "unknown":
        return 0, None
    base.unwrap(found)
    raise AssertionError("A failure was unwrapped.")


async def fill_body(link, kind, body, current):
    """Return a body from a file, with what it leaves out.

    A workspace without ``tokens`` keeps those in force, and the fleet its
    ``operators``: a file that leaves them out must lock nobody out. A workspace
    without ``template_version`` gets the version of its template that is in force.
    """
    body = dict(body)
    if kind == "fleet" and "operators" not in body:
        body["operators"] = (current or {}).get("operators", [])
    if kind != "workspace":
        return body
    if "tokens" not in body:
        body["tokens"] = (current or {}).get("tokens", [])
    if "template_version" not in body and isinstance(body.get("template"), str):
        template = await fetch_document(link, "template", body["template"])
        body["template_version"] = template["version"]
    return body


def show_difference(command, old_body, new_body):
    """Print the difference of two bodies, and return whether there is one."""
    lines = change.diff_documents(old_body, new_body)
    if not command.option("json"):
        command.show_text("\n".join(lines) if lines else "No difference.")
    return bool(lines)


def ask_to_publish(command, question):
    """Ask whether to publish what was shown.

    Raises:
        CommandError: The user does not agree, or nobody can be asked.
    """
    if not command.ask(question):
        base.fail_usage("Nothing was published.")


async def put_document(command, link, kind, name, amends, body):
    """Publish a body and show what became of it.

    Raises:
        CommandError: It was refused, or that is not known.
    """
    message = {"amends": amends, "body": body, "wait": True}
    path = f"/v1/admin/{kind}/{name}"
    found = await link.fetch_json("PUT", path, message, timeout_s=PUT_TIMEOUT_S)
    answer = base.unwrap(found)
    command.show(
        {"kind": kind, "name": name, **answer},
        f"Version {answer['version']} of {kind} {name} is in force at"
        f" {answer['in_force']} of {answer['of']} entries.",
    )


async def change_workspace(command, link, name, edit):
    """Show and publish a change of a workspace's body.

    Args:
        command: The command, which shows and asks.
        link: `pimentowick.cli.connection.Connection`.
        name: Name of the workspace.
        edit: Function from the body in force to the new one.

    Raises:
        CommandError: It was refused, or that is not known.
    """
    in_force = await fetch_document(link, "workspace", name)
    body = edit(dict(in_force["body"]))
    if not show_difference(command, in_force["body"], body):
        return
    ask_to_publish(command, "Publish this?")
    await put_document(command, link, "workspace", name, in_force["version"], body)
