"""The pages of docs/: their commands run, and their lists are complete."""

import ast
import asyncio
import re

import pytest

from pimentowick import settings
from pimentowick.entry import daemon, handler
from pimentowick.fakes import deployment
from pimentowick.tests import pages

# Folders whose code sends no responses to callers.
NON_SERVING_FOLDERS = {"cli", "fakes", "load", "tests"}
ERROR_ROW = re.compile(r"^\| `([a-z_]+)` \| (\d+|in results) \|", re.MULTILINE)


def test_commands_of_the_operators_page_run_as_written(tmp_path):
    output = pages.run_page("OPERATIONS.md", tmp_path)
    assert "40 of 40 completed" in output
    assert "cancelled" in output
    secrets = [path.read_text() for path in tmp_path.glob("*/**/*.token")]
    assert len(secrets) == 5
    for secret in secrets:
        assert secret.strip().partition(".")[2] not in output


@pytest.mark.parametrize("name", ["bajio", "nordland"])
@pytest.mark.parametrize("role", ["Entry", "Agent"])
def test_example_settings_are_valid(name, role):
    path = pages.ROOT / "deployments" / f"{name}-{role.lower()}.example.yaml"
    model = getattr(settings, f"{role}Settings")
    assert settings.load_settings(model, path).name


def test_examples_of_the_api_page_run_as_written(tmp_path, monkeypatch):
    asyncio.run(run_api_page(tmp_path, monkeypatch))


async def run_api_page(directory, monkeypatch):
    topology = deployment.load_topology(pages.ROOT / "deployments" / "bajio.yaml")
    topology["entries"] = 2
    topology["targets"][0]["replicas"] = 2
    topology["targets"][1]["replicas"] = 2
    fleet = deployment.Deployment(topology)
    try:
        await fleet.start()
        await fleet.publish()
        environment = {
            "ENTRY": fleet.entries[0].address,
            "TOKEN": fleet.workspace_tokens["feria-norte"],
            "OPERATOR": fleet.operator_token,
        }
        output = await asyncio.to_thread(
            pages.run_page, "API.md", directory, **environment
        )
        assert "data: [DONE]" in output
        for name, value in environment.items():
            monkeypatch.setenv(name, value)
        for block in pages.read_python("API.md"):
            await asyncio.to_thread(exec, block, {})
    finally:
        await fleet.close()


def list_handlers():
    """Return the request handler classes of an entry by path pattern."""
    path = pages.ROOT / "deployments" / "bajio-entry.example.yaml"
    entry = daemon.Entry(settings.load_settings(settings.EntrySettings, path))
    rules = entry._make_application().wildcard_router.rules
    return {rule.matcher.regex.pattern.rstrip("$"): rule.target for rule in rules}


def test_peer_paths_require_a_certificate():
    handlers = {
        path: handler_class
        for path, handler_class in list_handlers().items()
        if "/peer/" in path
    }
    assert handlers
    for path, handler_class in handlers.items():
        assert issubclass(handler_class, handler.PeerHandler), path


def test_api_page_names_every_path():
    page = pages.read_page("API.md")
    patterns = list_handlers()
    assert len(patterns) > 10
    for pattern in patterns:
        pattern = pattern.replace("(template|workspace|fleet)", "{kind}")
        parts = re.split(r"\([^)]*\)", pattern)
        written = r"\{[a-z]+\}".join(re.escape(part) for part in parts)
        assert re.search(f"`{written}`", page), pattern


def test_api_page_names_every_error_with_its_status():
    rows = set(ERROR_ROW.findall(pages.read_page("API.md")))
    codes = set()
    for path in (pages.ROOT / "pimentowick").rglob("*.py"):
        if NON_SERVING_FOLDERS.isdisjoint(path.relative_to(pages.ROOT).parts):
            codes.update(
                find_refusal_codes(ast.parse(path.read_text(encoding="utf-8")))
            )
    assert len(codes) > 30
    assert codes <= rows
    text = "".join(
        path.read_text(encoding="utf-8")
        for path in (pages.ROOT / "pimentowick").rglob("*.py")
        if "tests" not in path.parts
    )
    for code, _ in rows - codes:
        # Codes with a placeholder, such as unknown_model, are built by an f-string.
        assert f'"{code}"' in text or 'f"unknown_{kind}"' in text


def find_refusal_codes(tree):
    """Return pairs of code and status of the refusals constructed with literals."""
    codes = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        values = [getattr(each, "value", None) for each in node.args]
        if name == "Refusal" and len(values) > 1 and isinstance(values[1], str):
            if values[0] is not None:
                codes.add((values[1], str(values[0])))
        elif name == "make_input_error" and len(values) > 1:
            codes.add((values[1], str(values[2] if len(values) > 2 else 400)))
    return codes


def test_library_page_examples_do_not_import_the_daemons(tmp_path):
    blocks = pages.read_python("LIBRARY.md")
    assert len(blocks) >= 7
    for block in blocks:
        assert sum(bool(line.strip()) for line in block.splitlines()) < 30
    check = (
        "import sys\n"
        "for name in sys.modules:\n"
        "    assert not name.startswith(('pimentowick.entry', 'pimentowick.agent'))\n"
        "    assert not name.startswith(('pimentowick.cli.', 'cleo'))\n"
    )
    script = tmp_path / "library.py"
    script.write_text("\n".join([*blocks, check]), encoding="utf-8")
    pages.run_python(script)


def test_operators_page_names_every_metric():
    page = pages.read_page("OPERATIONS.md")
    text = "".join(
        (pages.ROOT / "pimentowick" / path).read_text(encoding="utf-8")
        for path in ("metrics.py", "gateway/metric.py")
    )
    names = set(re.findall(r'"(pimentowick_[a-z_]+)"', text))
    assert names
    assert names == set(re.findall(r"^\| `(pimentowick_[a-z_]+)`", page, re.MULTILINE))


def test_architecture_page_names_modules_that_exist():
    page = pages.read_page("ARCHITECTURE.md")
    paths = re.findall(r"`([a-z_/]+(?:\.py|/))`", page)
    assert len(paths) > 40
    for path in paths:
        assert (pages.ROOT / "pimentowick" / path).exists(), path
