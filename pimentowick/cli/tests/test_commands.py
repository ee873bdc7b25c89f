"""Runs commands against an embedded fleet."""

import asyncio
import io
import json

import pytest
import yaml
from cleo.io.inputs import argv_input
from cleo.io.outputs import buffered_output
from tornado import web

from pimentowick import web as http_web
from pimentowick.cli import application, reference
from pimentowick.cli.outcome import ExitCode
from pimentowick.fakes import embedded


class Shell:
    """Runs each command in a thread with its own application and streams."""

    def __init__(self, directory):
        self.directory = directory
        self.entries = []
        self.outputs = []
        self.tokens = {}

    def write(self, name, data):
        path = self.directory / name
        path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
        return str(path)

    async def run(self, *words, token_name="operator", expected_code=0):
        options = [f"--entry={address}" for address in self.entries]
        if token_name is not None:
            path = self.write(f"{token_name}.token", self.tokens[token_name])
            options.append(f"--token-file={path}")
        words = [*words, "--json", *(options if token_name is not None else [])]
        streams = [buffered_output.BufferedOutput() for _ in range(2)]
        argv = argv_input.ArgvInput(["pimentowick", *words])
        argv.interactive(False)
        exit_code = await asyncio.to_thread(application.run_command, argv, *streams)
        output, error = (stream.fetch() for stream in streams)
        self.outputs += [output, error]
        assert exit_code == expected_code, (words, output, error)
        return json.loads(output if output.strip() else error)


def run(directory, check, **settings):
    async def run_check():
        fleet = embedded.EmbeddedDeployment(**settings)
        shell = Shell(directory)
        try:
            await fleet.start()
            shell.entries = [entry.address for entry in fleet.entries.values()]
            shell.tokens = {"operator": fleet.operator_token, **fleet.tokens}
            await check(fleet, shell)
        finally:
            await fleet.close()
        for output in shell.outputs:
            for token in shell.tokens.values():
                assert token.partition(".")[2] not in output

    asyncio.run(run_check())


def test_documents_are_published_amended_and_listed(tmp_path):
    async def check(fleet, shell):
        body = {
            "parameters": {"share": {"type": "number", "default": 1.0}},
            "workspace": {"weight": "${share}"},
        }
        template_path = shell.write("t.yaml", body)
        published = await shell.run(
            "publish", "template", "fair", template_path, "--yes"
        )
        assert published["in_force"] == published["of"] == 2
        assert await shell.run("diff", "template", "fair", template_path) == {
            "version": published["version"],
            "difference": [],
        }
        workspace_path = shell.write("w.yaml", {"template": "fair", "parameters": {}})
        first = await shell.run("publish", "workspace", "c", workspace_path, "--yes")
        publish_again = ("publish", "workspace", "c", workspace_path, "--yes")
        failure = await shell.run(*publish_again, expected_code=ExitCode.REFUSED)
        assert failure["error"]["code"] == "conflict"
        amend = ("amend", "workspace", "c", "--parameter", "share=2.5", "--yes")
        amended = await shell.run(*amend)
        stale_amend = (
            *amend,
            "--parameter",
            "share=9",
            "--amends",
            str(first["version"]),
        )
        await shell.run(*stale_amend, expected_code=ExitCode.REFUSED)
        await shell.run(*amend[:-1], "--parameter", "x=1", expected_code=ExitCode.USAGE)
        shown = await shell.run("show", "workspace", "c")
        assert shown["version"] == amended["version"]
        assert shown["body"]["parameters"] == {"share": 2.5}
        records = (await shell.run("history", "workspace", "c"))["audit"]
        assert [record["accepted"] for record in records] == [True, False, True, False]
        assert {record["client"] for record in records} == {"127.0.0.1"}
        assert {record["by"] for record in records} == {"test"}
        secret = "a-secret-in-the-wrong-place"
        stored_token = {"id": "abcd", "salt": secret, "hash": secret}
        invalid_path = shell.write(
            "wrong.yaml", {"template": "fair", "tokens": [stored_token]}
        )
        await shell.run(
            "amend", "workspace", "c", invalid_path, "--yes", expected_code=3
        )
        await shell.run("history", "workspace", "c")
        assert not any(secret in output for output in shell.outputs)

    run(tmp_path, check)


def test_jobs_are_submitted_watched_fetched_and_cancelled(tmp_path):
    async def check(fleet, shell):
        lines_path = shell.write("job.jsonl", embedded.make_job_lines(30).decode())
        submit = ("job", "submit", lines_path, "--key", "night", "--deadline-in", "6h")
        job = await shell.run(*submit, token_name="a")
        assert (await shell.run(*submit, token_name="a"))["id"] == job["id"]
        finished = await shell.run("job", "watch", job["id"], token_name="a")
        assert finished["request_counts"]["completed"] == 30
        output_path = tmp_path / "results.jsonl"
        fetch = ("job", "fetch", job["id"], "--output", str(output_path))
        assert (await shell.run(*fetch, token_name="a"))["results"] == 30
        names = {json.loads(line)["custom_id"] for line in output_path.open()}
        assert names == {f"item-{number}" for number in range(30)}
        await shell.run(
            "job", "show", job["id"], token_name="b", expected_code=ExitCode.REFUSED
        )
        long_path = shell.write(
            "long.jsonl", embedded.make_job_lines(200, 100).decode()
        )
        long_job = await shell.run(
            "job", "submit", long_path, "--key", "k", token_name="a"
        )
        cancelled = await shell.run("job", "cancel", long_job["id"], token_name="a")
        assert cancelled["status"] == "cancelled"
        watch = ("job", "watch", long_job["id"])
        await shell.run(*watch, token_name="a", expected_code=ExitCode.REFUSED)
        await check_audit_records(shell, long_job["id"])

    run(tmp_path, check)


def test_operators_list_and_cancel_jobs_of_any_workspace(tmp_path):
    async def check(fleet, shell):
        lines_path = shell.write(
            "job.jsonl", embedded.make_job_lines(200, 100).decode()
        )
        jobs = {}
        for token_name in ("a", "b"):
            submit = ("job", "submit", lines_path, "--key", "k")
            jobs[token_name] = (await shell.run(*submit, token_name=token_name))["id"]
        workspace_jobs = (await shell.run("job", "list", token_name="a"))["data"]
        assert [job["id"] for job in workspace_jobs] == [jobs["a"]]
        all_jobs = await shell.run("job", "list", "--operator")
        assert {job["id"] for job in all_jobs["data"]} == set(jobs.values())
        assert all_jobs["missing_shards"] == []
        cancel = ("job", "cancel", jobs["b"], "--operator")
        await shell.run(*cancel, token_name="a", expected_code=ExitCode.REFUSED)
        assert (await shell.run(*cancel))["status"] == "cancelled"
        (record,) = (await shell.run("audit", "--workspace", "b", "--by", "test"))[
            "audit"
        ][-1:]
        assert (record["kind"], record["name"]) == ("cancel", jobs["b"])
        await fleet.crash("entry-3")
        for words in (("job", "list", "--operator"), ("audit",)):
            response = await shell.run(*words)
            assert response["missing_shards"]
            assert not set(response["missing_shards"]) & set(response["shards"])

    run(tmp_path, check, entries=4, entry_settings={"followers": 1, "shards": 8})


async def check_audit_records(shell, job_id):
    (record,) = (await shell.run("audit", "--kind", "cancel"))["audit"]
    assert (record["name"], record["workspace"]) == (job_id, "a")
    assert record["client"] == "127.0.0.1"
    assert record["by"] == "a/" + shell.tokens["a"].partition(".")[0]
    by_author = ("audit", "--by", record["by"], "--since", "1h")
    assert (await shell.run(*by_author))["audit"] == [record]
    claims = (await shell.run("audit", "--kind", "claim"))["audit"]
    assert any(claim["accepted"] for claim in claims)
    workspace_records = (await shell.run("audit", "--own", token_name="a"))["audit"]
    assert record in workspace_records
    assert {each["workspace"] for each in workspace_records} == {"a"}
    other_workspace = ("audit", "--own", "--workspace", "a")
    assert record not in (await shell.run(*other_workspace, token_name="b"))["audit"]
    await shell.run("audit", token_name="a", expected_code=ExitCode.REFUSED)


def test_tokens_are_rotated_and_workspaces_stopped_and_resumed(tmp_path):
    async def check(fleet, shell):
        path = tmp_path / "new.token"
        rotate = ("token", "rotate", "a", "--output", str(path), "--yes")
        await shell.run(*rotate)
        await shell.run(*rotate, expected_code=ExitCode.USAGE)
        assert path.stat().st_mode & 0o777 == 0o600
        shell.tokens["new"] = path.read_text().strip()
        for token_name in ("a", "new"):
            await shell.run("audit", "--own", token_name=token_name)
        old_token_id = shell.tokens["a"].partition(".")[0]
        await shell.run("token", "retire", "a", old_token_id, "--yes")
        await shell.run(
            "audit", "--own", token_name="a", expected_code=ExitCode.REFUSED
        )
        await shell.run("workspace", "stop", "a", "--yes")
        failure = await shell.run(
            "audit", "--own", token_name="new", expected_code=ExitCode.REFUSED
        )
        assert failure["error"]["code"] == "stopped"
        await shell.run("workspace", "resume", "a", "--yes")
        await shell.run("audit", "--own", token_name="new")
        token_path = tmp_path / "ada.token"
        printed = await shell.run(
            "token",
            "make",
            "--name",
            "ada",
            "--output",
            str(token_path),
            token_name=None,
        )
        assert printed["entry"]["name"] == "ada"
        shell.tokens["ada"] = token_path.read_text().strip()

    run(tmp_path, check)


def test_drain_orders_reach_their_host_and_the_audit_trail(tmp_path):
    async def check(fleet, shell):
        await shell.run(
            "host", "drain", "nobody", "--yes", expected_code=ExitCode.REFUSED
        )
        response = await shell.run("host", "drain", "lm-0", "--yes")
        assert response["host"] == "agent-lm-0"
        assert fleet.agents["agent-lm-0"].shutdown_requests.requested
        await shell.run("host", "drain", "entry-1", "--yes")
        assert fleet.entries["entry-1"].shutdown_requests.requested
        records = (await shell.run("audit", "--kind", "order"))["audit"]
        assert [record["name"] for record in records] == ["agent-lm-0", "entry-1"]
        assert all(record["accepted"] and record["by"] == "test" for record in records)
        await shell.run(
            "host", "drain", "lm-0", "--yes", token_name="a", expected_code=3
        )
        status = await shell.run("fleet", "status")
        versions = {entry["version"] for entry in status["entries"].values()}
        assert versions == {status["configuration_version"]}

    run(tmp_path, check)


def test_drain_is_refused_while_the_log_is_unavailable(tmp_path):
    """An operator orders a drain while the log is unavailable.

    An order without an audit record must not be executed. The command fails and its
    message names SIGTERM as the alternative.
    """

    async def check(fleet, shell):
        await fleet.log.close()
        failure = await shell.run("host", "drain", "lm-0", "--yes", expected_code=5)
        assert "SIGTERM" in failure["error"]["message"]
        assert not fleet.agents["agent-lm-0"].shutdown_requests.requested

    run(tmp_path, check, entry_settings={"append_s": 0.5})


def test_requests_are_retried_at_the_next_entry_if_one_is_unreachable(tmp_path):
    """The first of the given addresses belongs to a crashed entry.

    The request was not executed there, so even a change is retried at the next entry.
    The command fails only if all entries are unreachable.
    """

    async def check(fleet, shell):
        await fleet.crash("entry-0")
        amend = ("amend", "workspace", "a", "--parameter", "share=2", "--yes")
        await shell.run(*amend)
        shell.entries.pop()
        await shell.run("fleet", "status", expected_code=ExitCode.UNREACHABLE)

    run(tmp_path, check)


class ClosingHandler(web.RequestHandler):
    """Closes the connection of each request without a response."""

    def prepare(self):
        self.request.connection.close()


def test_change_is_not_retried_after_a_lost_response(tmp_path):
    """An entry closes the connection after receiving a request.

    A retried order could take effect twice, so the command exits with the code for an
    unknown outcome. A read-only request is retried at the next entry.
    """

    async def check(fleet, shell):
        server = http_web.Server(web.Application([("/.*", ClosingHandler)]))
        await server.start()
        shell.entries.insert(0, server.address)
        await shell.run("fleet", "status")
        drain = ("host", "drain", "lm-0", "--yes")
        failure = await shell.run(*drain, expected_code=ExitCode.UNKNOWN)
        assert failure["error"]["code"] == "unknown_outcome"
        assert not fleet.agents["agent-lm-0"].shutdown_requests.requested
        await server.close()

    run(tmp_path, check)


@pytest.mark.parametrize(
    "words",
    [
        ("job", "submit"),
        ("nonsense",),
        ("show", "workspace"),
        ("fleet", "status"),
        ("settings", "check", "entry", "absent.yaml"),
        ("template", "check", "absent.yaml"),
        ("token", "make"),
    ],
)
def test_invalid_command_lines_exit_with_the_usage_code(words, capsys, monkeypatch):
    monkeypatch.delenv("PIMENTOWICK_ENTRIES", raising=False)
    argv = argv_input.ArgvInput(["pimentowick", *words])
    output = buffered_output.BufferedOutput()
    assert application.run_command(argv, output, output) == ExitCode.USAGE


@pytest.mark.parametrize(
    ("typed_input", "expected_code"), [("yes\n", 0), ("no\n", 2), (None, 2)]
)
def test_changes_require_confirmation(tmp_path, typed_input, expected_code):
    async def check(fleet, shell):
        path = shell.write("operator.token", fleet.operator_token)
        words = ["pimentowick", "workspace", "stop", "a", f"--token-file={path}"]
        words.append(f"--entry={shell.entries[0]}")
        argv = argv_input.ArgvInput(words)
        argv.interactive(typed_input is not None)
        argv.set_stream(io.StringIO(typed_input or ""))
        output = buffered_output.BufferedOutput()
        exit_code = await asyncio.to_thread(
            application.run_command, argv, output, output
        )
        assert exit_code == expected_code
        assert "+stopped: true" in output.fetch()
        assert fleet.entries["entry-0"].configuration.workspaces["a"].stopped == (
            expected_code == 0
        )

    run(tmp_path, check)


def test_help_of_each_command_has_examples():
    for command in application.COMMANDS:
        assert command.examples
        assert all(line.startswith("pimentowick ") for line in command.examples)
        assert command.description.endswith(".")


def test_settings_page_is_up_to_date():
    page = embedded.__file__.partition("pimentowick/fakes")[0] + "docs/SETTINGS.md"
    with open(page, encoding="utf-8") as file:
        assert file.read() == reference.format_reference() + "\n"
