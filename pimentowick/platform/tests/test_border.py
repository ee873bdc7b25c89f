"""Wire names stay within pimentowick.platform, and requirements are pinned."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
# Names that occur only on the wire; plain English words are left out.
WIRE_NAMES = re.compile(
    r"X-Pimentowick-(Request|Deadline|Expect|Model|Token|Prompt|Server|Not|Weight"
    r"|Hold|Pin|Kv|Wait|Length|Instance)|/-/(log|lots|items|readiness|report)|PIMENTOWICK_NODE_FILE"
    r"|keyed\.|\b(slo_ms|max_conns|path_prefix\"|run_target_ms|ttl_ms|wait_ms)\b"
)
EXEMPT_FOLDERS = {"platform", "fakes", "soak", "tests"}


def test_no_other_module_uses_wire_names():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in (ROOT / "pimentowick").rglob("*.py")
        if EXEMPT_FOLDERS.isdisjoint(path.relative_to(ROOT).parts)
        for match in WIRE_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_search_finds_wire_names_in_platform():
    text = (ROOT / "pimentowick/platform/message.py").read_text(encoding="utf-8")
    assert WIRE_NAMES.search(text)


def test_requirements_are_pinned_by_the_constraints():
    constraints = (ROOT / "constraints.txt").read_text(encoding="utf-8").splitlines()
    requirements = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    assert requirements
    assert set(requirements) <= set(constraints)
