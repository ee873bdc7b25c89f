"""What the commands have in common."""

import abc
import asyncio
import json
import os
import pathlib
import sys

import yaml
from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
from returns import result

from pimentowick import exception, tls
from pimentowick.cli import connection, outcome

__all__ = [
    "JSON_OPTION",
    "OPERATOR_OPTION",
    "YES_OPTION",
    "Command",
    "CommandError",
    "FleetCommand",
    "OfflineCommand",
    "choose_path",
    "fail_usage",
    "get_argument",
    "get_option",
    "read_mapping",
    "unwrap",
]

ENTRIES_VARIABLE = "PIMENTOWICK_ENTRIES"
TOKEN_VARIABLE = "PIMENTOWICK_TOKEN"
AUTHORITY_VARIABLE = "PIMENTOWICK_AUTHORITY"
EXIT_CODES = """
<b>EXIT CODES</b>
  0  done
  2  the command line, a file or a setting is wrong; nothing was sent
  3  refused, or another change came first; nothing was changed
  4  it is not known whether it took effect
  5  no entry takes the request now; nothing was changed"""


class CommandError(exception.PimentowickError):
    """Ends a command with a `pimentowick.cli.outcome.Failure`."""

    def __init__(self, failure):
        super().__init__(failure.message)
        self.failure = failure


def unwrap(found):
    """Return the value of a `result.Result`.

    Raises:
        CommandError: It is a failure.
    """
    if isinstance(found, result.Success):
        return found.unwrap()
    raise CommandError(found.failure())


def fail_usage(message):
    """End the command: its arguments or files are wrong.

    Raises:
        CommandError: Always.
    """
    raise CommandError(
        outcome.Failure(outcome.ExitCode.USAGE, "usage", message),
    )


def get_argument(name, description, **fields):
    """Return the declaration of an argument."""
    return helpers.argument(name, description, **fields)


def get_option(name, description, flag=False, **fields):
    """Return the declaration of an option, by default one with a value."""
    return helpers.option(name, None, description, flag=flag, **fields)


def choose_path(command, path):
    """Return a path below ``/v1``, or ``/v1/admin`` with ``--operator``."""
    return f"/v1/admin{path}" if command.option("operator") else f"/v1{path}"


def read_mapping(path):
    """Return the mapping in a YAML or JSON file; ``-`` is standard input.

    Raises:
        CommandError: It can't be read, or holds something else.
    """
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        data = yaml.safe_load(text)
    except OSError as error:
        fail_usage(f"{path}: {error.strerror}.")
    except (UnicodeDecodeError, yaml.YAMLError) as error:
        fail_usage(f"{path}: {error}.")
    if not isinstance(data, dict):
        fail_usage(f"{path}: Expected a mapping.")
    return data


class Command(command.Command, abc.ABC):
    """Runs, shows what came out, and ends with a documented exit code.

    Class attributes:
        examples: Command lines that the help shows.
    """

    examples = ()

    def configure(self):
        """Add the common options, the examples and the exit codes."""
        lines = [f"  {line}" for line in self.examples]
        self.help = "\n".join(
            [f"{self.description}\n\n<b>EXAMPLES</b>", *lines, EXIT_CODES]
        )
        super().configure()

    def handle(self):
        """Run the command and return its exit code."""
        try:
            code = self._run_command()
        except CommandError as error:
            self._show_failure(error.failure)
            return int(error.failure.exit_code)
        return int(outcome.ExitCode.OK if code is None else code)

    @abc.abstractmethod
    def _run_command(self):
        """Run, and return an exit code or None."""

    def _show_failure(self, failure):
        if self.option("json"):
            text = json.dumps(failure.to_dict())
        else:
            text = f"{failure.code}: {failure.message}"
        self.io.write_error_line(text, type=output.Type.RAW)

    def show(self, data, text):
        """Print `data` as JSON if that was asked for, otherwise `text`."""
        if self.option("json"):
            text = json.dumps(data, sort_keys=True)
        self.show_text(text)

    def show_text(self, text):
        """Print text as it is."""
        # Raw: text of others must not be taken for markup of the terminal.
        self.io.write_line(text, type=output.Type.RAW)

    def ask(self, question):
        """Return whether the user agrees to what was shown.

        Raises:
            CommandError: There is nobody to ask.
        """
        if self.option("yes"):
            return True
        if not self.io.is_interactive():
            fail_usage("Nobody can be asked here. Give --yes to go on.")
        return self.confirm(question, False)


JSON_OPTION = get_option("json", "Print one JSON object.", flag=True)
OPERATOR_OPTION = get_option("operator", "The token is an operator's.", flag=True)
YES_OPTION = get_option("yes", "Don't ask.", flag=True)


class OfflineCommand(Command):
    """A command that needs no fleet."""

    _own_options = ()

    def configure(self):
        """Add the common options."""
        self.options = [*self._own_options, JSON_OPTION]
        super().configure()


class FleetCommand(Command):
    """A command that talks to entries."""

    _own_options = ()
    _common_options = (
        get_option(
            "entry",
            f"IP:port of an entry; may be given again. Default: ${ENTRIES_VARIABLE},"
            " separated by commas.",
            multiple=True,
        ),
        get_option(
            "token-file",
            f"File that holds the token. Default: the token in ${TOKEN_VARIABLE}.",
        ),
        get_option(
            "authority",
            "PEM file of the authority that signs the entries' certificates. Default:"
            f" ${AUTHORITY_VARIABLE}; without one, plain HTTP.",
        ),
        JSON_OPTION,
    )

    def configure(self):
        """Add the options that say where the fleet is."""
        self.options = [*self._own_options, *self._common_options]
        super().configure()

    def _run_command(self):
        return asyncio.run(self._run_connected())

    async def _run_connected(self):
        link = connection.Connection(
            self._read_entries(), self._read_token(), self._read_tls()
        )
        await link.start()
        try:
            return await self.run_on(link)
        finally:
            await link.close()

    @abc.abstractmethod
    async def run_on(self, link):
        """Run with a `pimentowick.cli.connection.Connection`."""

    def _read_entries(self):
        given = self.option("entry") or os.environ.get(ENTRIES_VARIABLE, "").split(",")
        entries = [entry.strip() for entry in given if entry.strip()]
        if not entries:
            fail_usage(f"Give --entry IP:port, or set ${ENTRIES_VARIABLE}.")
        for entry in entries:
            _, separator, port = entry.rpartition(":")
            if not separator or not port.isdigit():
                fail_usage(f"--entry {entry}: Expected IP:port.")
        return entries

    def _read_tls(self):
        path = self.option("authority") or os.environ.get(AUTHORITY_VARIABLE)
        try:
            return tls.ClientTls(path) if path else None
        except exception.SettingsError as error:
            fail_usage(str(error))

    def _read_token(self):
        path = self.option("token-file")
        if path is None:
            token = os.environ.get(TOKEN_VARIABLE, "")
        else:
            token = _read_text(path)
        if not token.strip():
            fail_usage(f"Give --token-file FILE, or set ${TOKEN_VARIABLE}.")
        return token.strip()


def _read_text(path):
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fail_usage(f"{path}: {error.strerror}.")
