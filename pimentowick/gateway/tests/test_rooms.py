import ast
import pathlib

import pytest

POLICY = pathlib.Path(__file__).parents[1] / "policy"
FORBIDDEN = ("asyncio", "tornado", "pycurl", "loguru", "pimentowick.platform")
OWN = ("pimentowick.gateway.policy", "pimentowick.rendezvous")


def list_imports(path):
    """Return the full names of the modules that a module imports."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            found += [f"{node.module}.{alias.name}" for alias in node.names]
    return found


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_decisions_have_no_input_or_output(path):
    # A decision that waits for something or sends it can't be replayed without a
    # fleet, and whoever changes a policy would have to read the sockets as well.
    for name in list_imports(path):
        assert not name.startswith(FORBIDDEN), name
        assert not name.startswith("pimentowick.") or name.startswith(OWN), name


def test_folder_of_decisions_is_the_one_that_is_checked():
    assert {path.stem for path in POLICY.glob("*.py")} > {"preemption", "target_choice"}
