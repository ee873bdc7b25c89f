"""Child processes whose processor time and memory are read from the kernel."""

import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile

import yaml

__all__ = ["Child", "start_daemon"]

ROOT = pathlib.Path(__file__).resolve().parents[1]
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 20.0


class Child:
    """A Python process started by a benchmark.

    Args:
        arguments: Arguments of the interpreter.

    Attributes:
        address: ``IP:port`` that the process listens on.
    """

    def __init__(self, arguments):
        self._process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        self.address = json.loads(self._process.stdout.readline())["listening"]

    def read_cpu(self):
        """Return the processor time used so far, in seconds."""
        text = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def read_memory(self):
        """Return the resident memory, in bytes."""
        text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(text.split()[1]) * resource.getpagesize()

    def close(self):
        """Terminate the process, and kill it if it does not end in time."""
        self._process.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


def start_daemon(role, settings):
    """Start an entry or an agent that stops without draining.

    Args:
        role: ``entry`` or ``agent``.
        settings: Dictionary of its settings.

    Returns:
        The `Child`.
    """
    settings = {"log_level": "ERROR", "lame_duck_s": 0.0, "drain_s": 0.0, **settings}
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        yaml.safe_dump(settings, file)
        file.flush()
        return Child(["-m", f"pimentowick.{role}", file.name])
