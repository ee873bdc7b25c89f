"""Extracts the code blocks of documentation pages and runs them unchanged."""

import os
import pathlib
import re
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
SHELL_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
PYTHON_BLOCK = re.compile(r"^```python\n(.*?)^```$", re.MULTILINE | re.DOTALL)
TIMEOUT_S = 180
# Reports a failing command, and ends the background jobs when the script exits.
SCRIPT_PREAMBLE = """set -Eeuo pipefail
trap 'echo "Failed: $BASH_COMMAND"' ERR
trap 'for id in $(jobs -p); do kill "$id"; done; wait' EXIT
"""


def read_page(name):
    return (ROOT / "docs" / name).read_text(encoding="utf-8")


def read_python(name):
    """Return the Python blocks of a page."""
    blocks = PYTHON_BLOCK.findall(read_page(name))
    assert blocks
    return blocks


def run_page(name, directory, **environment):
    """Run all shell blocks of a page in one shell and return the output."""
    blocks = SHELL_BLOCK.findall(read_page(name))
    assert blocks
    script = directory / "page.sh"
    script.write_text(SCRIPT_PREAMBLE + "\n".join(blocks), encoding="utf-8")
    inherited = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("PIMENTOWICK_")
    }
    inherited["PATH"] = os.pathsep.join(
        [str(pathlib.Path(sys.executable).parent), inherited["PATH"]]
    )
    inherited["PYTHONPATH"] = str(ROOT)
    inherited["TMPDIR"] = str(directory)
    process = subprocess.Popen(
        ["bash", str(script)],
        cwd=ROOT,
        env={**inherited, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=TIMEOUT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGTERM)
        output, _ = process.communicate()
    assert process.returncode == 0, output
    return output


def run_python(script):
    """Run a Python script in a separate process."""
    completed = subprocess.run(
        [sys.executable, str(script)],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr
