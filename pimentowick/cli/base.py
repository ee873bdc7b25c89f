"""Base classes and helpers for commands."""

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
    "make_api_path",
    "make_argument",
    "make_option",
    "raise_usage_error",
    "read_mapping",
    "unwrap",
]

ENTRIES_ENV_VAR = "PIMENTOWICK_ENTRIES"
TOKEN_ENV_VAR = "PIMENTOWICK_TOKEN"
AUTHORITY_ENV_VAR = "PIMENTOWICK_AUTHORITY"
EXIT_CODES_HELP = """
<b>EXIT CODES</b>
  0  success
  2  the command line, a file or a setting is invalid; nothing was sent
  3  refused, or conflicts with another change; nothing was changed
  4  outcome unknown: the request may have taken effect
  5  no entry can process the request now; nothing was changed"""


class CommandError(exception.PimentowickError):
    """Terminates a command with a `pimentowick.cli.outcome.Failure`."""

    def __init__(self, failure):
        super().__init__(failure.message)
        self.failure = failure


def unwrap(response):
    """Return the value of a successful `result.Result`.

    Raises:
        CommandError: The result is a failure.
    """
    if isinstance(response, result.Success):
        return response.unwrap()
    raise CommandError(response.failure())


def raise_usage_error(message):
    """Report invalid arguments, options or files.

    Raises:
        CommandError: Always.
    """
    raise CommandError(
        outcome.Failure(outcome.ExitCode.USAGE, "usage", message),
    )


def make_argument(name, description, **options):
    """Declare a command argument."""
    return helpers.argument(name, description, **options)


def make_option(name, description, flag=False, **options):
    """Declare a command option; it takes a value unless `flag` is set."""
    return helpers.option(name, None, description, flag=flag, **options)


def make_api_path(command, path):
    """Prefix a path with ``/v1``, or with ``/v1/admin`` if ``--operator`` is set."""
    return f"/v1/admin{path}" if command.option("operator") else f"/v1{path}"


def read_mapping(path):
    """Read a mapping from a YAML or JSON file, or from standard input for ``-``.

    Raises:
        CommandError: The file can't be read or is not a mapping.
    """
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        data = yaml.safe_load(text)
    except OSError as error:
        raise_usage_error(f"{path}: {error.strerror}.")
    except (UnicodeDecodeError, yaml.YAMLError) as error:
        raise_usage_error(f"{path}: {error}.")
    if not isinstance(data, dict):
        raise_usage_error(f"{path}: Expected a mapping.")
    return data


class Command(command.Command, abc.ABC):
    """Base class of all commands.

    Prints the result or the failure and returns a documented exit code.

    Class attributes:
        examples: Command lines shown in the help text.
    """

    examples = ()

    def configure(self):
        """Compose the help text from description, examples and exit codes."""
        lines = [f"  {line}" for line in self.examples]
        self.help = "\n".join(
            [f"{self.description}\n\n<b>EXAMPLES</b>", *lines, EXIT_CODES_HELP]
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
        """Run the command and return its exit code, or None for success."""

    def _show_failure(self, failure):
        if self.option("json"):
            text = json.dumps(failure.to_dict())
        else:
            text = f"{failure.code}: {failure.message}"
        self.io.write_error_line(text, type=output.Type.RAW)

    def show(self, data, text):
        """Print `data` as JSON if ``--json`` is set, otherwise `text`."""
        if self.option("json"):
            text = json.dumps(data, sort_keys=True)
        self.show_text(text)

    def show_text(self, text):
        """Print text without interpreting markup."""
        # Documents and logs may contain strings that look like cleo style tags.
        self.io.write_line(text, type=output.Type.RAW)

    def confirm_change(self, question):
        """Ask the user for confirmation, unless ``--yes`` is set.

        Raises:
            CommandError: The session is not interactive and ``--yes`` is not set.
        """
        if self.option("yes"):
            return True
        if not self.io.is_interactive():
            raise_usage_error("Not an interactive session; use --yes to confirm.")
        return self.confirm(question, False)


JSON_OPTION = make_option("json", "Print the result as one JSON object.", flag=True)
OPERATOR_OPTION = make_option("operator", "Use the operator API.", flag=True)
YES_OPTION = make_option("yes", "Skip the confirmation.", flag=True)


class OfflineCommand(Command):
    """Base class of commands that send no requests."""

    _command_options = ()

    def configure(self):
        """Declare the options."""
        self.options = [*self._command_options, JSON_OPTION]
        super().configure()


class FleetCommand(Command):
    """Base class of commands that send requests to entries."""

    _command_options = ()
    _common_options = (
        make_option(
            "entry",
            f"IP:port of an entry; may be repeated. Default: ${ENTRIES_ENV_VAR},"
            " separated by commas.",
            multiple=True,
        ),
        make_option(
            "token-file",
            f"File that contains the token. Default: the token in ${TOKEN_ENV_VAR}.",
        ),
        make_option(
            "authority",
            "PEM file of the CA that signs the entries' certificates. Default:"
            f" ${AUTHORITY_ENV_VAR}; if unset, plain HTTP is used.",
        ),
        JSON_OPTION,
    )

    def configure(self):
        """Declare the options, including address, token and authority of the fleet."""
        self.options = [*self._command_options, *self._common_options]
        super().configure()

    def _run_command(self):
        return asyncio.run(self._connect_and_run())

    async def _connect_and_run(self):
        client = connection.FleetClient(
            self._read_entries(), self._read_token(), self._read_tls()
        )
        await client.start()
        try:
            return await self.run_with_client(client)
        finally:
            await client.close()

    @abc.abstractmethod
    async def run_with_client(self, client):
        """Run the command and return its exit code, or None for success.

        Args:
            client: `pimentowick.cli.connection.FleetClient`, already started.
        """

    def _read_entries(self):
        values = self.option("entry") or os.environ.get(ENTRIES_ENV_VAR, "").split(",")
        entries = [entry.strip() for entry in values if entry.strip()]
        if not entries:
            raise_usage_error(
                f"No entry specified; use --entry IP:port or set ${ENTRIES_ENV_VAR}."
            )
        for entry in entries:
            _, separator, port = entry.rpartition(":")
            if not separator or not port.isdigit():
                raise_usage_error(f"--entry {entry}: Expected IP:port.")
        return entries

    def _read_tls(self):
        path = self.option("authority") or os.environ.get(AUTHORITY_ENV_VAR)
        try:
            return tls.ClientTls(path) if path else None
        except exception.SettingsError as error:
            raise_usage_error(str(error))

    def _read_token(self):
        path = self.option("token-file")
        if path is None:
            token = os.environ.get(TOKEN_ENV_VAR, "")
        else:
            token = _read_text(path)
        if not token.strip():
            raise_usage_error(
                f"No token specified; use --token-file FILE or set ${TOKEN_ENV_VAR}."
            )
        return token.strip()


def _read_text(path):
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise_usage_error(f"{path}: {error.strerror}.")
