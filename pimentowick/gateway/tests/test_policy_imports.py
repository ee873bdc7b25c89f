import ast
import pathlib

import pytest

POLICY = pathlib.Path(__file__).parents[1] / "policy"
FORBIDDEN_PREFIXES = ("asyncio", "tornado", "pycurl", "loguru", "pimentowick.platform")
ALLOWED_PREFIXES = ("pimentowick.gateway.policy", "pimentowick.rendezvous")


def list_imports(path):
    """Return the qualified names that a module imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_policies_have_no_input_or_output(path):
    # Guards against policies that cannot be replayed in virtual time.
    for name in list_imports(path):
        assert not name.startswith(FORBIDDEN_PREFIXES), name
        assert not name.startswith("pimentowick.") or name.startswith(
            ALLOWED_PREFIXES
        ), name


def test_policy_modules_are_found():
    assert {path.stem for path in POLICY.glob("*.py")} > {"preemption", "target_choice"}
