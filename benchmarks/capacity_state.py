"""Memory and processor time of the state that is replayed from the log."""

import asyncio
import gc
import time
import tracemalloc
import types

import orjson

from benchmarks import capacity_fit
from pimentowick import settings
from pimentowick.batch import intake, ledger, record, shard, writer
from pimentowick.configuration import change, state_machine, tokens, workspace
from pimentowick.external import log as external_log

__all__ = ["make_configuration", "measure_state"]

CONFIGURATION_SIZES = (100, 400, 1300)
ITEM_SIZES = (1000, 10_000, 65_000)
SHARD_SIZES = (4, 16, 64)
RESULTS_PER_RECORD = 100
WRITER_S = 4.0
WRITER_INTERVAL_S = 0.05
MODELS = 14
PROMPT = "user: Summarise the dossier of this exhibitor. " * 6
ANSWER = " token" * 60


def make_configuration(count):
    """Return the records of a template and `count` workspaces with all models."""
    models = {f"model-{i}": {"max_tokens": 512} for i in range(MODELS)}
    body = {
        "parameters": {"share": {"type": "number", "default": 1.0}},
        "workspace": {"weight": "${share}", "models": models},
    }
    records = [
        {"id": external_log.make_id(), "type": "opening"},
        change.make_change("template", "plain", 0, "bench", body, 1.0),
    ]
    for number in range(count):
        _, token_record = tokens.make_token()
        filled = {
            "template": "plain",
            "template_version": 1,
            "parameters": {},
            "tokens": [token_record.to_dict()],
            "stopped": False,
        }
        name = f"workspace-{number}"
        records.append(change.make_change("workspace", name, 0, "bench", filled, 1.0))
    return records


def measure_state():
    """Print the costs of replicated state; return the fitted lines by name."""
    lines = _measure_configuration()
    lines.update(_measure_ledger())
    lines.update(asyncio.run(_measure_submission()))
    lines.update(asyncio.run(_measure_writer()))
    return lines


def _measure_configuration():
    rows = []
    for count in CONFIGURATION_SIZES:
        records = [orjson.dumps(each) for each in make_configuration(count)]
        seconds, size, state = _apply_all(
            state_machine.ConfigurationStateMachine, records
        )
        dump = len(orjson.dumps(state.dump()))
        rows.append((count, seconds, size, dump, sum(map(len, records))))
    return _print_rows(
        rows,
        (
            ("configuration_cpu", "Configuration, applying it all", "s"),
            ("configuration_memory", "Configuration, memory", "bytes"),
            ("configuration_checkpoint", "Configuration, checkpoint", "bytes"),
            ("configuration_log", "Configuration, records", "bytes"),
        ),
    )


def _print_rows(rows, columns):
    return {
        name: capacity_fit.print_line(
            title, unit, [(row[0], row[index]) for row in rows]
        )
        for index, (name, title, unit) in enumerate(columns, start=1)
    }


def _apply_all(make_state, records):
    """Return processor seconds, bytes of memory and the state after all records."""
    state = make_state()
    started_at = time.process_time()
    for offset, text in enumerate(records):
        state.apply(offset, orjson.loads(text))
    seconds = time.process_time() - started_at
    gc.collect()
    tracemalloc.start()
    second_state = make_state()
    for offset, text in enumerate(records):
        second_state.apply(offset, orjson.loads(text))
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return seconds, size, state


def _measure_ledger():
    rows = []
    for count in ITEM_SIZES:
        chunks, results = _make_job(count)
        records = [orjson.dumps(each) for each in chunks + results]
        seconds, size, state = _apply_all(ledger.Ledger, records)
        dump = len(orjson.dumps(state.dump()))
        item_bytes = sum(map(len, records[: len(chunks)]))
        result_bytes = sum(map(len, records[len(chunks) :]))
        rows.append((count, seconds, size, dump, item_bytes, result_bytes))
    return _print_rows(
        rows,
        (
            ("ledger_cpu", "Ledger, applying a job and its results", "s"),
            ("ledger_memory", "Ledger, memory of a finished job", "bytes"),
            ("ledger_checkpoint", "Ledger, checkpoint", "bytes"),
            ("item_log", "Log, records of the items", "bytes"),
            ("result_log", "Log, records of the results", "bytes"),
        ),
    )


def _make_job(count):
    items = [_make_item(number) for number in range(count)]
    chunks = asyncio.run(intake.make_chunks("s", items, 262_144))
    submitted = record.make_submitted(
        "batch_0", "s", "a", "k", "d", count, len(chunks), model="model-0", at=1.0
    )
    head = [record.make_claim(1, "entry-0#1", 1.0), *chunks, submitted]
    results = []
    for start in range(0, count, RESULTS_PER_RECORD):
        numbers = range(start, min(start + RESULTS_PER_RECORD, count))
        rows = [["batch_0", n, "succeeded", _make_result(n)] for n in numbers]
        results.append(record.make_results(1, rows))
    return head, results


def _make_item(number):
    return {
        "custom_id": f"dossier-{number}",
        "model": "model-0",
        "adapter": None,
        "prompt": PROMPT,
        "max_tokens": 100,
    }


def _make_result(number):
    message = {"role": "assistant", "content": ANSWER}
    body = {
        "id": f"batch_0-{number}",
        "object": "chat.completion",
        "created": 1,
        "model": "model-0",
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 48, "completion_tokens": 60, "total_tokens": 108},
    }
    response = {"status_code": 200, "request_id": body["id"], "body": body}
    return {"custom_id": f"dossier-{number}", "response": response, "error": None}


class _LoopStallMonitor:
    """Records the longest time for which the event loop was blocked."""

    def __init__(self):
        self.longest_s = 0.0

    async def watch(self):
        """Measure the delays of short sleeps until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.001)
            now = time.monotonic()
            self.longest_s = max(self.longest_s, now - last - 0.001)
            last = now


class _MemoryLog:
    """Counts appends, and delays each by a round trip."""

    def __init__(self):
        self.appends = 0

    async def append(self, stream, records):
        """Discard the records."""
        orjson.dumps({"records": records})
        self.appends += 1
        await asyncio.sleep(0.002)
        return 0


class _FakeReplica:
    def __init__(self):
        self.log = _MemoryLog()

    async def append(self, records, timeout_s):
        """Append the records; they are not read back."""
        return await self.log.append("shard-0", records)


def _make_settings(**fields):
    platform = {"log": "127.0.0.1:1", "hosts": "127.0.0.1:1"}
    return settings.EntrySettings(
        name="entry-0", failure_domain="d0", platform=platform, **fields
    )


def _make_workspace():
    use = workspace.ModelPolicy(max_tokens=512)
    return types.SimpleNamespace(name="a", models={"model-0": use})


async def _measure_submission():
    rows = []
    for count in ITEM_SIZES:
        body = b"\n".join(map(_make_line, range(count)))
        target_shard = types.SimpleNamespace(replica=_FakeReplica())
        stall_monitor = _LoopStallMonitor()
        monitoring = asyncio.ensure_future(stall_monitor.watch())
        await asyncio.sleep(0.01)
        started_at = time.process_time()
        submission = await intake.parse_items(body, _make_workspace())
        await intake.append_submission(
            target_shard,
            "batch_0",
            submission,
            _make_settings(),
            workspace="a",
            key="k",
            deadline=None,
            at=1.0,
        )
        seconds = time.process_time() - started_at
        await asyncio.sleep(0.01)
        monitoring.cancel()
        appends = target_shard.replica.log.appends
        rows.append((count, seconds, stall_monitor.longest_s * 1e3, appends, len(body)))
    return _print_rows(
        rows,
        (
            ("submission_cpu", "Submission of a job", "s"),
            ("submission_block", "Submission, longest time the loop stood", "ms"),
            ("submission_appends", "Submission, appends", "appends"),
            ("submission_bytes", "Submission, body", "bytes"),
        ),
    )


def _make_line(number):
    messages = [{"role": "user", "content": PROMPT}]
    body = {"model": "model-0", "messages": messages, "max_tokens": 100}
    return orjson.dumps({"custom_id": f"dossier-{number}", "body": body})


async def _measure_writer():
    lines = {}
    for flush_s in (0.25, 1.0):
        points = [(n, await _count_appends(n, flush_s)) for n in SHARD_SIZES]
        lines[f"appends_{flush_s:g}"] = capacity_fit.print_line(
            f"Appends of one writer by shards, flush_s {flush_s:g}", "a second", points
        )
    return lines


async def _count_appends(shards, flush_s):
    log = _MemoryLog()
    owned = [shard.Shard(number, log) for number in range(shards)]
    results = writer.ResultWriter(_make_settings(flush_s=flush_s))
    await results.start()
    started_at = time.monotonic()
    number = 0
    while time.monotonic() - started_at < WRITER_S:
        for each in owned:
            results.add(each, 1, "batch_0", number, "succeeded", _make_result(number))
        number += 1
        await asyncio.sleep(WRITER_INTERVAL_S)
    await results.close()
    return log.appends / WRITER_S
