"""Simulation of all entries starting at once after a power loss."""

import dataclasses
import random

import pytest

from pimentowick.gateway import content, job, record

# Egress bandwidth of the store, shared by all reads, and link bandwidths of entries.
STORE_BYTES_PER_S = 80e6
LINKS_BYTES_PER_S = (1.9e6, 37e6)
STEP_S = 0.005
# Responses hold record values in base64.
BASE64_OVERHEAD = 4 / 3
KEY_BYTES = 60
# Latency of a read that the store answers at once, including a new connection.
ROUND_TRIP_S = 0.012
# Time from the start of a process to its first call to the store.
PROCESS_START_S = 0.3
CONFIGURATION_BYTES = 20_000
TARGETS = 50
TARGET_BYTES = 300
JOBS_PER_S = 1.3
RETENTION_S = 150.0
ITEMS = 10
BODY_BYTES = 15_000
TEXT_BYTES = 17_000


def measure_job():
    """Return the bytes that each entry reads of a job whose items are all listed."""
    headers = {"X-Model": "m", "X-Usage": "350,195", "X-Prefix": "5c1e07a2:100," * 2}
    items = [
        job.Item(
            "e5b2907c14da6f38",
            "/pule252/3/91c4",
            headers,
            545,
            content.Reference(record.name_body(number, "f" * 32), 10**6, 1, BODY_BYTES),
        )
        for number in range(ITEMS)
    ]
    submitted = record.make_job(
        "7c41e09b52d6a3f8", "a.example", "/pule252/1", 1e9, items
    )
    text = content.Reference(record.name_text(1, "f" * 32), 10**6, 1, TEXT_BYTES)
    listed = record.make_result("7c41e09b52d6a3f8", 1, "f" * 32, True, text)
    rows = [submitted, *[listed] * ITEMS]
    return sum(len(row.value) + KEY_BYTES for row in rows) * BASE64_OVERHEAD


@dataclasses.dataclass(eq=False)
class StartingEntry:
    """An entry that reads several sets of data from the store in sequence.

    Attributes:
        read_at: Time at which its current read starts.
        link_bytes_per_s: Bandwidth of its link.
        remaining_bytes: Bytes left of each set.
        ready_at: Time at which the first set was read, 0 before.
        loaded_at: Time at which the last set was read, 0 before.
    """

    read_at: float
    link_bytes_per_s: float
    remaining_bytes: list
    ready_at: float = 0.0
    loaded_at: float = 0.0


def simulate_startup(count, sizes, seed=1):
    """Return the entries after all of them have read all sets.

    Args:
        count: Number of entries.
        sizes: Bytes of each set; an entry is ready after the first.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    entries = [
        StartingEntry(
            PROCESS_START_S + rng.uniform(0, 0.3),
            rng.choice(LINKS_BYTES_PER_S),
            list(sizes),
        )
        for _ in range(count)
    ]
    now = 0.0
    while not all(entry.loaded_at for entry in entries):
        now += STEP_S
        reading = [e for e in entries if e.remaining_bytes and e.read_at <= now]
        rate = STORE_BYTES_PER_S / max(1, len(reading))
        for entry in reading:
            entry.remaining_bytes[0] -= min(rate, entry.link_bytes_per_s) * STEP_S
            if entry.remaining_bytes[0] > 0:
                continue
            entry.remaining_bytes.pop(0)
            entry.read_at = now + ROUND_TRIP_S
            entry.ready_at = entry.ready_at or now
            if not entry.remaining_bytes:
                entry.loaded_at = now
    return entries


FIRST_BYTES = (CONFIGURATION_BYTES + TARGETS * TARGET_BYTES) * BASE64_OVERHEAD


@pytest.mark.parametrize("count", [30, 88, 300])
def test_all_entries_are_ready_within_a_second_of_the_first(count):
    # All hosts start within 0.3 s of each other, with minutes of jobs in the store.
    job_bytes = JOBS_PER_S * RETENTION_S * measure_job()
    entries = simulate_startup(count, [FIRST_BYTES, job_bytes])
    first = min(entry.ready_at for entry in entries)
    assert max(entry.ready_at for entry in entries) - first < 1.0
    # The jobs are read within the time that a caller waits for a job to be accepted.
    assert max(entry.loaded_at for entry in entries) - first < 8.0
    # At most twice as late as with few entries.
    few = simulate_startup(10, [FIRST_BYTES, job_bytes])
    assert max(e.ready_at for e in entries) < 2 * max(e.ready_at for e in few)


def test_reading_all_job_contents_first_would_delay_readiness():
    # Shows that the simulation detects the regression: entries that read the contents
    # of all jobs before they are ready.
    contents = JOBS_PER_S * 34.0 * ITEMS * (BODY_BYTES + TEXT_BYTES) * BASE64_OVERHEAD
    entries = simulate_startup(88, [FIRST_BYTES + contents])
    assert min(entry.ready_at for entry in entries) > 5.0


def test_hundreds_of_entries_before_thousands_of_targets_serve_within_seconds():
    # One page of targets is enough to serve. If 300 entries read all pages of 3,000
    # targets first, each would read a megabyte before its first request.
    page = 500 * TARGET_BYTES * BASE64_OVERHEAD
    first_bytes = CONFIGURATION_BYTES * BASE64_OVERHEAD + page
    by_page = simulate_startup(300, [first_bytes, 5 * page])
    all_pages = simulate_startup(300, [first_bytes + 5 * page])
    assert max(entry.ready_at for entry in by_page) < 2.0
    assert max(entry.ready_at for entry in all_pages) > 4.0
