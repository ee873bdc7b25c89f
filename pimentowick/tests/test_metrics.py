"""Values, units and label sets of the exported metrics."""

import re

from pimentowick.batch import ledger, record
from pimentowick.fakes import embedded

LINE = re.compile(r"^([a-z_]+)(?:\{(.*)\})? (\S+)$")
LABEL = re.compile(r'(\w+)="([^"]*)"')
UNITS = ("_total", "_seconds", "_requests", "_offset", "_shards", "_jobs")
HISTOGRAM_PARTS = ("_bucket", "_count", "_sum")
LABELS = {"priority", "code", "verdict", "outcome", "handler", "le"}


async def read_metrics(fleet, address):
    answer = await fleet.client.fetch("GET", address, "/metrics")
    values_by_series = {}
    for line in answer.body.decode().splitlines():
        if not line.startswith("#") and line:
            name, labels, value = LINE.match(line).groups()
            values_by_series[name, frozenset(LABEL.findall(labels or ""))] = float(
                value
            )
    return values_by_series


def get_value(metrics, name, **labels):
    return metrics.get((f"pimentowick_{name}", frozenset(labels.items())), 0.0)


def check_names(metrics):
    for name, labels in metrics:
        for part in HISTOGRAM_PARTS:
            name = name.removesuffix(part)
        assert name.endswith(UNITS), name
        assert {label for label, _ in labels} <= LABELS


def test_decisions_are_counted():
    async def check(fleet):
        assert (await fleet.chat("hello")).status == 200
        unknown_model_body = {"model": "x", "prompt": "hello"}
        answer = await fleet.fetch("POST", "/v1/completions", unknown_model_body)
        assert answer.status == 404
        job = (await fleet.submit(embedded.make_job_lines(20), "k")).decode()
        await fleet.wait_for_job(job["id"])
        entry = await read_metrics(fleet, fleet.entries["entry-0"].address)
        assert get_value(entry, "entry_requests_total", outcome="answered") == 1
        refusal_labels = {"code": "unknown_model", "verdict": "not_run"}
        assert get_value(entry, "entry_refusals_total", **refusal_labels) == 1
        assert get_value(entry, "entry_log_appends_total", outcome="done") > 0
        assert get_value(entry, "entry_configuration_version_offset") > 0
        entry_metrics = [
            await read_metrics(fleet, e.address) for e in fleet.entries.values()
        ]
        total = sum(
            get_value(m, "entry_items_total", outcome="succeeded")
            for m in entry_metrics
        )
        assert total == 20
        assert sum(get_value(m, "entry_claims_total") for m in entry_metrics) == 1
        assert sum(get_value(m, "entry_owned_shards") for m in entry_metrics) == 1
        agents = [await read_metrics(fleet, a.address) for a in fleet.agents.values()]
        admitted = "agent_admitted_total"
        assert sum(get_value(m, admitted, priority="batch") for m in agents) == 20
        assert sum(get_value(m, admitted, priority="online") for m in agents) == 1
        for metrics in [*entry_metrics, *agents]:
            check_names(metrics)

    embedded.run(check)


def test_labels_contain_no_workspace_job_or_request():
    async def check(fleet):
        for workspace in ("a", "b"):
            token = fleet.tokens[workspace]
            lines = embedded.make_job_lines(3)
            job = (await fleet.submit(lines, "key", token=token)).decode()["id"]
            await fleet.wait_for_job(job, token=token)
            await fleet.fetch("GET", f"/v1/batches/{job}/none")
            await fleet.fetch("POST", f"/v1/{job}", {})
            await fleet.chat("hello", token=token)
        servers = [*fleet.entries.values(), *fleet.agents.values()]
        for server in servers:
            metrics = await read_metrics(fleet, server.address)
            values = {value for _, labels in metrics for _, value in labels}
            assert values.isdisjoint({"a", "b", "key"})
            assert not any(re.search("batch_|req_|item", value) for value in values)

    embedded.run(check, entries=1)


def test_records_of_a_stale_epoch_are_counted():
    """A paused owner loses its shard and then appends results with its old epoch.

    The results are discarded, and the metric shows operators how often this happens.
    """
    shard_ledger = ledger.Ledger()
    shard_ledger.apply(0, record.make_claim(1, "a", 0.0))
    shard_ledger.apply(1, record.make_claim(2, "b", 0.0))
    shard_ledger.apply(2, record.make_results(1, []))
    shard_ledger.apply(3, record.make_results(2, []))
    assert shard_ledger.fenced == 1
    assert [note.accepted for note in shard_ledger.audit_events] == [True, True]
