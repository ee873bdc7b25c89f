"""The command line against an embedded fleet."""

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
    """Runs commands in a thread, as separate processes would."""

    def __init__(self, directory):
        self.directory = directory
        self.entries = []
        self.outputs = []
        self.tokens = {}

    def write(self, name, data):
        path = self.directory / name
        path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
        return str(path)

    async def run(self, *words, who="operator", code=0):
        options = [f"--entry={address}" for address in self.entries]
        if who is not None:
            path = self.write(f"{who}.token", self.tokens[who])
            options.append(f"--token-file={path}")
        words = [*words, "--json", *(options if who is not None else [])]
        streams = [buffered_output.BufferedOutput() for _ in range(2)]
        asked = argv_input.ArgvInput(["pimentowick", *words])
        asked.interactive(False)
        found = await asyncio.to_thread(application.run_command, asked, *streams)
        output, error = (stream.fetch() for stream in streams)
        self.outputs += [output, error]
        assert found == code, (words, output, error)
        return json.loads(output if output.strip() else error)


def run(directory, check, **settings):
    async def run_check():
        fleet = embedded.Embedded(**settings)
        shell = Shell(directory)
        try:
            await fleet.start()
            shell.entries = [each.address for each in fleet.entries.values()]
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
        template = shell.write("t.yaml", body)
        made = await shell.run("publish", "template", "fair", template, "--yes")
        assert made["in_force"] == made["of"] == 2
        assert await shell.run("diff", "template", "fair", template) == {
            "version": made["version"],
            "difference": [],
        }
        space = shell.write("w.yaml", {"template": "fair", "parameters": {}})
        first = await shell.run("publish", "workspace", "c", space, "--yes")
        again = ("publish", "workspace", "c", space, "--yes")
        refused = await shell.run(*again, code=ExitCode.REFUSED)
        assert refused["error"]["code"] == "conflict"
        amend = ("amend", "workspace", "c", "--parameter", "share=2.5", "--yes")
        amended = await shell.run(*amend)
        stale = (*amend, "--parameter", "share=9", "--amends", str(first["version"]))
        await shell.run(*stale, code=ExitCode.REFUSED)
        await shell.run(*amend[:-1], "--parameter", "x=1", code=ExitCode.USAGE)
        shown = await shell.run("show", "workspace", "c")
        assert shown["version"] == amended["version"]
        assert shown["body"]["parameters"] == {"share": 2.5}
        notes = (await shell.run("history", "workspace", "c"))["audit"]
        assert [note["accepted"] for note in notes] == [True, False, True, False]
        assert {note["client"] for note in notes} == {"127.0.0.1"}
        assert {note["by"] for note in notes} == {"test"}
        secret = "a-secret-in-the-wrong-place"
        entry = {"id": "abcd", "salt": secret, "hash": secret}
        wrong = shell.write("wrong.yaml", {"template": "fair", "tokens": [entry]})
        await shell.run("amend", "workspace", "c", wrong, "--yes", code=3)
        await shell.run("history", "workspace", "c")
        assert not any(secret in output for output in shell.outputs)

    run(tmp_path, check)


def test_jobs_are_submitted_watched_fetched_and_cancelled(tmp_path):
    async def check(fleet, shell):
        lines = shell.write("job.jsonl", embedded.make_job_lines(30).decode())
        submit = ("job", "submit", lines, "--key", "night", "--deadline-in", "6h")
        job = await shell.run(*submit, who="a")
        assert (await shell.run(*submit, who="a"))["id"] == job["id"]
        done = await shell.run("job", "watch", job["id"], who="a")
        assert done["request_counts"]["completed"] == 30
        target = tmp_path / "results.jsonl"
        fetch = ("job", "fetch", job["id"], "--output", str(target))
        assert (await shell.run(*fetch, who="a"))["results"] == 30
        names = {json.loads(line)["custom_id"] for line in target.open()}
        assert names == {f"item-{number}" for number in range(30)}
        await shell.run("job", "show", job["id"], who="b", code=ExitCode.REFUSED)
        long = shell.write("long.jsonl", embedded.make_job_lines(200, 100).decode())
        second = await shell.run("job", "submit", long, "--key", "k", who="a")
        stopped = await shell.run("job", "cancel", second["id"], who="a")
        assert stopped["status"] == "cancelled"
        watch = ("job", "watch", second["id"])
        await shell.run(*watch, who="a", code=ExitCode.REFUSED)
        await check_trail(shell, second["id"])

    run(tmp_path, check)


def test_operators_list_and_cancel_jobs_of_any_workspace(tmp_path):
    async def check(fleet, shell):
        lines = shell.write("job.jsonl", embedded.make_job_lines(200, 100).decode())
        jobs = {}
        for who in ("a", "b"):
            submit = ("job", "submit", lines, "--key", "k")
            jobs[who] = (await shell.run(*submit, who=who))["id"]
        own = (await shell.run("job", "list", who="a"))["data"]
        assert [job["id"] for job in own] == [jobs["a"]]
        everything = await shell.run("job", "list", "--operator")
        assert {job["id"] for job in everything["data"]} == set(jobs.values())
        assert everything["missing_shards"] == []
        cancel = ("job", "cancel", jobs["b"], "--operator")
        await shell.run(*cancel, who="a", code=ExitCode.REFUSED)
        assert (await shell.run(*cancel))["status"] == "cancelled"
        (note,) = (await shell.run("audit", "--workspace", "b", "--by", "test"))[
            "audit"
        ][-1:]
        assert (note["kind"], note["name"]) == ("cancel", jobs["b"])
        await fleet.crash("entry-3")
        for words in (("job", "list", "--operator"), ("audit",)):
            answer = await shell.run(*words)
            assert answer["missing_shards"]
            assert not set(answer["missing_shards"]) & set(answer["shards"])

    run(tmp_path, check, entries=4, entry_settings={"followers": 1, "shards": 8})


async def check_trail(shell, job_id):
    (note,) = (await shell.run("audit", "--kind", "cancel"))["audit"]
    assert (note["name"], note["workspace"]) == (job_id, "a")
    assert note["client"] == "127.0.0.1"
    assert note["by"] == "a/" + shell.tokens["a"].partition(".")[0]
    by = ("audit", "--by", note["by"], "--since", "1h")
    assert (await shell.run(*by))["audit"] == [note]
    claims = (await shell.run("audit", "--kind", "claim"))["audit"]
    assert any(claim["accepted"] for claim in claims)
    own = (await shell.run("audit", "--own", who="a"))["audit"]
    assert note in own
    assert {each["workspace"] for each in own} == {"a"}
    other = ("audit", "--own", "--workspace", "a")
    assert note not in (await shell.run(*other, who="b"))["audit"]
    await shell.run("audit", who="a", code=ExitCode.REFUSED)


def test_tokens_rotate_without_a_gap_and_workspaces_stop(tmp_path):
    async def check(fleet, shell):
        path = tmp_path / "new.token"
        rotate = ("token", "rotate", "a", "--output", str(path), "--yes")
        await shell.run(*rotate)
        await shell.run(*rotate, code=ExitCode.USAGE)
        assert path.stat().st_mode & 0o777 == 0o600
        shell.tokens["new"] = path.read_text().strip()
        for who in ("a", "new"):
            await shell.run("audit", "--own", who=who)
        old = shell.tokens["a"].partition(".")[0]
        await shell.run("token", "retire", "a", old, "--yes")
        await shell.run("audit", "--own", who="a", code=ExitCode.REFUSED)
        await shell.run("workspace", "stop", "a", "--yes")
        refused = await shell.run("audit", "--own", who="new", code=ExitCode.REFUSED)
        assert refused["error"]["code"] == "stopped"
        await shell.run("workspace", "resume", "a", "--yes")
        await shell.run("audit", "--own", who="new")
        made = tmp_path / "ada.token"
        entry = await shell.run(
            "token", "make", "--name", "ada", "--output", str(made), who=None
        )
        assert entry["entry"]["name"] == "ada"
        shell.tokens["ada"] = made.read_text().strip()

    run(tmp_path, check)


def test_drain_orders_reach_their_host_and_the_trail(tmp_path):
    async def check(fleet, shell):
        await shell.run("host", "drain", "nobody", "--yes", code=ExitCode.REFUSED)
        answer = await shell.run("host", "drain", "lm-0", "--yes")
        assert answer["host"] == "agent-lm-0"
        assert fleet.agents["agent-lm-0"].shutdown_requests.requested
        await shell.run("host", "drain", "entry-1", "--yes")
        assert fleet.entries["entry-1"].shutdown_requests.requested
        notes = (await shell.run("audit", "--kind", "order"))["audit"]
        assert [note["name"] for note in notes] == ["agent-lm-0", "entry-1"]
        assert all(note["accepted"] and note["by"] == "test" for note in notes)
        await shell.run("host", "drain", "lm-0", "--yes", who="a", code=3)
        status = await shell.run("fleet", "status")
        versions = {each["version"] for each in status["entries"].values()}
        assert versions == {status["configuration_version"]}

    run(tmp_path, check)


def test_drain_is_not_passed_on_while_the_log_is_down(tmp_path):
    """The log is down when an operator orders a drain.

    An order that was carried out without its record could not be accounted for
    later, so the operator is told that nothing was done and what to do instead.
    """

    async def check(fleet, shell):
        await fleet.log.close()
        refused = await shell.run("host", "drain", "lm-0", "--yes", code=5)
        assert "SIGTERM" in refused["error"]["message"]
        assert not fleet.agents["agent-lm-0"].shutdown_requests.requested

    run(tmp_path, check, entry_settings={"append_s": 0.5})


def test_next_entry_is_asked_when_one_is_gone(tmp_path):
    """The first of the addresses that an operator gives belongs to a lost host.

    Nothing can have run there, so the next address gets the request, changes
    included; only when all are gone does the command fail.
    """

    async def check(fleet, shell):
        await fleet.crash("entry-0")
        amend = ("amend", "workspace", "a", "--parameter", "share=2", "--yes")
        await shell.run(*amend)
        shell.entries.pop()
        await shell.run("fleet", "status", code=ExitCode.UNREACHABLE)

    run(tmp_path, check)


class LosingHandler(web.RequestHandler):
    """Takes a request and closes the connection without an answer."""

    def prepare(self):
        self.request.connection.close()


def test_change_with_a_lost_answer_is_not_sent_again(tmp_path):
    """An entry takes an order and dies before it answers.

    Sent to the next entry, the order could take effect twice. The command ends
    with the exit code for an unknown outcome and sends nothing more; a question
    that changes nothing goes on to the next entry.
    """

    async def check(fleet, shell):
        server = http_web.Server(web.Application([("/.*", LosingHandler)]))
        await server.start()
        shell.entries.insert(0, server.address)
        await shell.run("fleet", "status")
        drain = ("host", "drain", "lm-0", "--yes")
        lost = await shell.run(*drain, code=ExitCode.UNKNOWN)
        assert lost["error"]["code"] == "unknown_outcome"
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
def test_wrong_command_lines_end_with_the_code_for_usage(words, capsys, monkeypatch):
    monkeypatch.delenv("PIMENTOWICK_ENTRIES", raising=False)
    asked = argv_input.ArgvInput(["pimentowick", *words])
    output = buffered_output.BufferedOutput()
    assert application.run_command(asked, output, output) == ExitCode.USAGE


@pytest.mark.parametrize(("typed", "code"), [("yes\n", 0), ("no\n", 2), (None, 2)])
def test_changes_are_made_only_if_somebody_agrees(tmp_path, typed, code):
    async def check(fleet, shell):
        path = shell.write("operator.token", fleet.operator_token)
        words = ["pimentowick", "workspace", "stop", "a", f"--token-file={path}"]
        words.append(f"--entry={shell.entries[0]}")
        asked = argv_input.ArgvInput(words)
        asked.interactive(typed is not None)
        asked.set_stream(io.StringIO(typed or ""))
        output = buffered_output.BufferedOutput()
        found = await asyncio.to_thread(application.run_command, asked, output, output)
        assert found == code
        assert "+stopped: true" in output.fetch()
        assert fleet.entries["entry-0"].configuration.workspaces["a"].stopped == (
            code == 0
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
