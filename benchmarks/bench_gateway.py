"""Cost of operations of the gateway by numbers of targets, routes, items and others."""

import os
import time
import tracemalloc

import orjson

from benchmarks import capacity_fit
from pimentowick.gateway import (
    admission,
    content,
    decision_log,
    event_stream,
    job,
    load_report,
    record,
    route,
    target,
    workspace,
)
from pimentowick.gateway.policy import (
    outlier_detection,
    quota,
    report_relay,
    target_choice,
)

__all__ = ["run"]

SIZES = (20, 80, 320)
ROUNDS = 400
MICROSECONDS_PER_S = 1e6


def _measure_call_us(function, rounds=ROUNDS):
    """Return the processor time of a call in microseconds, the best of five runs."""
    best = float("inf")
    for _ in range(5):
        started_at = time.process_time()
        for _ in range(rounds):
            function()
        best = min(best, time.process_time() - started_at)
    return best / rounds * MICROSECONDS_PER_S


def _make_target_table(count):
    table = target.TargetTable()
    for number in range(count):
        table.put(
            target.Registration(f"t{number}", "s", "10.0.0.1", 1 + number, "a", 8)
        )
    return table


def _measure_datagram(targets):
    """Return the cost of a datagram whose sender has requests at `targets` targets."""
    table = _make_target_table(targets)
    neighbours = load_report.LoadReporter(
        "me:1",
        report_relay.ReportRelay("me:1", "a", 1000.0),
        table,
        admission.Admission(table, "a"),
        outlier_detection.OutlierDetection("a"),
        quota.SharedQuota(),
        lambda: None,
    )
    numbers = iter(range(1, 1_000_000))

    def receive_datagram():
        number = next(numbers)
        loads = {f"t{n}": (number % 3, 1) for n in range(targets)}
        data = {"from": "x:1", "number": number, "loads": loads}
        data |= {"waiting": {}, "pending": {}}
        neighbours.datagram_received(orjson.dumps(data), ("x", 1))

    return _measure_call_us(receive_datagram)


def _measure_choice(targets):
    served = _make_target_table(targets).list_targets("s")
    return _measure_call_us(lambda: target_choice.choose_for_online(served, 0.0, "a"))


def _measure_route(count):
    routes = [
        route.Route(f"r{n}", f"h{n}", "/p/", route.Kind.ONCE, {"s": 1}, 1, 1)
        for n in range(count)
    ]
    table = route.Configuration(1, routes)
    return _measure_call_us(lambda: table.find(f"h{count - 1}", "/p/1"))


def _measure_key(count):
    keys = {workspace.Workspace(f"w{n}"): [f"{n:020}"] for n in range(count)}
    directory = workspace.Directory(keys)
    return _measure_call_us(lambda: directory.find("00000000000000000007"))


def _measure_quota(count):
    """Return the cost of taking quota while `count` workspaces use theirs."""
    limit = quota.Limit(1e9, 1e9)
    shared_quota = quota.SharedQuota()
    shared_quota.update_member_counts(33, 33)
    for number in range(count):
        shared_quota.take(f"w{number}", limit, 0.0)
    return _measure_call_us(lambda: shared_quota.take("w7", limit, 0.1))


def _measure_report(count):
    """Return the cost of merging a usage report on `count` workspaces."""
    limit = quota.Limit(1e9, 1e9)
    shared_quota = quota.SharedQuota()
    shared_quota.update_member_counts(33, 33)
    numbers = iter(range(1, 1_000_000))

    def merge_report():
        rows = dict.fromkeys((f"w{n}" for n in range(count)), (0, next(numbers), 0))
        shared_quota.merge_report("x:1", rows, lambda name: limit, 0.0)

    return _measure_call_us(merge_report)


def _measure_quota_memory(count):
    tracemalloc.start()
    limit = quota.Limit(5.0, 5.0)
    shared_quota = quota.SharedQuota()
    shared_quota.update_member_counts(33, 33)
    rows = {f"w{number}": (0, 1, 0) for number in range(count)}
    shared_quota.merge_report("x:1", rows, lambda name: limit, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1024


def _measure_events(count):
    data = b"".join(b"id: %d\ndata: some words\n\n" % n for n in range(count))
    return _measure_call_us(lambda: event_stream.EventSplitter().feed(data), rounds=50)


def _measure_lines(count):
    """Return the cost of logging `count` lines of a request."""
    with open(os.devnull, "w", encoding="utf-8") as null_file:
        decision_log.configure(descriptor=null_file.fileno())

        def write():
            for _ in range(count):
                decision_log.log_request_event(
                    "online.sent",
                    "51f08a2b3c4d5e6f",
                    attempt=1,
                    target="i-7f3a91c2",
                    online=3,
                    batch=4,
                    slots=8,
                    waited_s=0.0123456,
                    left_s=4.9,
                    resumed_at=None,
                )

        # All lines together stay below the rate limit of the log.
        return _measure_call_us(
            write, rounds=max(1, decision_log.MAX_BURST_LINES // (8 * count))
        )


def _measure_job_memory(items):
    tracemalloc.start()
    job_table = job.JobTable()
    job_items = [
        job.Item(f"i{n}", "/p", {}, 100, content.Reference(f"b/{n}/w", n, 1, 1000))
        for n in range(items)
    ]
    row = record.make_job("j", "h", "/p", 0.0, job_items)
    del job_items
    job_table.apply_job(row.key, row.value)
    del row
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1024


def run():
    """Print costs by size and the lines fitted to them."""
    rows = [
        ("a datagram, by its sender's targets", "us", _measure_datagram),
        ("a choice of a target, by targets", "us", _measure_choice),
        ("a route, by routes", "us", _measure_route),
        ("a key, by workspaces", "us", _measure_key),
        ("a limit, by busy workspaces", "us", _measure_quota),
        ("takes of another entry, by workspaces", "us", _measure_report),
        ("limits in memory, by busy workspaces", "KB", _measure_quota_memory),
        ("a chunk of events, by events", "us", _measure_events),
        ("lines of the log, by lines", "us", _measure_lines),
        ("a job in memory, by items", "KB", _measure_job_memory),
    ]
    for name, unit, measure in rows:
        points = [(size, measure(size)) for size in SIZES]
        capacity_fit.print_line(name, unit, points)
