"""What speaks to the platform stays in its folder, and the build has its versions."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
# Names that only the wire has; a word of plain English is none.
WIRE = re.compile(
    r"X-Pimentowick-(Request|Deadline|Expect|Model|Token|Prompt|Server|Not|Weight"
    r"|Hold|Pin|Kv|Wait|Length|Instance)|/-/(log|lots|items|readiness|report)|PIMENTOWICK_NODE_FILE"
    r"|keyed\.|\b(slo_ms|max_conns|path_prefix\"|run_target_ms|ttl_ms|wait_ms)\b"
)
OWN = {"platform", "fakes", "soak", "tests"}


def test_no_other_module_knows_a_name_of_the_platform():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in (ROOT / "pimentowick").rglob("*.py")
        if OWN.isdisjoint(path.relative_to(ROOT).parts)
        for match in WIRE.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_the_platform_s_folder_is_found_by_the_same_search():
    text = (ROOT / "pimentowick/platform/message.py").read_text(encoding="utf-8")
    assert WIRE.search(text)


def test_requirements_are_those_of_the_constraints():
    constraints = (ROOT / "constraints.txt").read_text(encoding="utf-8").splitlines()
    wanted = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    assert wanted
    assert set(wanted) <= set(constraints)
