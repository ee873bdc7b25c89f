"""The return of all entries at once, replayed in virtual time."""

import dataclasses
import random

import pytest

from pimentowick.gateway import content, job, record

# What the store's way out carries, all reads together, and small links of entries.
STORE_BYTES_PER_S = 80e6
LINKS_BYTES_PER_S = (1.9e6, 37e6)
STEP_S = 0.005
# An answer holds records as JSON, their values in base64.
ANSWER_SHARE = 4 / 3
KEY_BYTES = 60
# Steps of a read that is answered at once: a new connection, the store, the way back.
ROUND_TRIP_S = 0.012
# The time from the start of a process to its first call.
BOOT_S = 0.3
CONFIGURATION_BYTES = 20_000
TARGETS = 50
TARGET_BYTES = 300
JOBS_PER_S = 1.3
KEPT_S = 150.0
ITEMS = 10
BODY_BYTES = 15_000
TEXT_BYTES = 17_000


def measure_job():
    """Return the bytes that every entry reads of a job whose items are listed."""
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
    made = record.make_job("7c41e09b52d6a3f8", "a.example", "/pule252/1", 1e9, items)
    text = content.Reference(record.name_text(1, "f" * 32), 10**6, 1, TEXT_BYTES)
    listed = record.make_result("7c41e09b52d6a3f8", 1, "f" * 32, True, text)
    rows = [made, *[listed] * ITEMS]
    return sum(len(row.value) + KEY_BYTES for row in rows) * ANSWER_SHARE


@dataclasses.dataclass(eq=False)
class Starting:
    """An entry that reads what it needs to serve, then the jobs."""

    starts_at: float
    link: float
    left: list
    ready_at: float = 0.0
    loaded_at: float = 0.0


def replay(count, sizes, seed=1):
    """Return the entries once all have read everything, one size after the other.

    They are ready after the first.
    """
    draw = random.Random(seed)
    entries = [
        Starting(
            BOOT_S + draw.uniform(0, 0.3),
            draw.choice(LINKS_BYTES_PER_S),
            list(sizes),
        )
        for _ in range(count)
    ]
    now = 0.0
    while not all(entry.loaded_at for entry in entries):
        now += STEP_S
        reading = [e for e in entries if e.left and e.starts_at <= now]
        rate = STORE_BYTES_PER_S / max(1, len(reading))
        for entry in reading:
            entry.left[0] -= min(rate, entry.link) * STEP_S
            if entry.left[0] > 0:
                continue
            entry.left.pop(0)
            entry.starts_at = now + ROUND_TRIP_S
            entry.ready_at = entry.ready_at or now
            if not entry.left:
                entry.loaded_at = now
    return entries


FIRST_BYTES = (CONFIGURATION_BYTES + TARGETS * TARGET_BYTES) * ANSWER_SHARE


@pytest.mark.parametrize("count", [30, 88, 300])
def test_all_entries_are_ready_within_a_second_of_the_first(count):
    # All hosts lose power and start within 0.3 s of each other, after minutes of jobs.
    later_bytes = JOBS_PER_S * KEPT_S * measure_job()
    entries = replay(count, [FIRST_BYTES, later_bytes])
    first = min(entry.ready_at for entry in entries)
    assert max(entry.ready_at for entry in entries) - first < 1.0
    # Jobs can be read within the time that a caller waits for an acceptance.
    assert max(entry.loaded_at for entry in entries) - first < 8.0
    # No later than with few entries, within a factor of two.
    few = replay(10, [FIRST_BYTES, later_bytes])
    assert max(e.ready_at for e in entries) < 2 * max(e.ready_at for e in few)


def test_bodies_and_texts_read_by_all_would_keep_them_from_serving():
    # What the replay shows of the way before: all at once, with all bytes of jobs.
    contents = JOBS_PER_S * 34.0 * ITEMS * (BODY_BYTES + TEXT_BYTES) * ANSWER_SHARE
    entries = replay(88, [FIRST_BYTES + contents])
    assert min(entry.ready_at for entry in entries) > 5.0


def test_hundreds_of_entries_before_thousands_of_targets_serve_within_seconds():
    # A page of the targets is enough to serve. Waiting for all pages, 300 entries
    # before 3,000 targets read a megabyte each before the first request.
    page = 500 * TARGET_BYTES * ANSWER_SHARE
    first_bytes = CONFIGURATION_BYTES * ANSWER_SHARE + page
    by_page = replay(300, [first_bytes, 5 * page])
    whole = replay(300, [first_bytes + 5 * page])
    assert max(entry.ready_at for entry in by_page) < 2.0
    assert max(entry.ready_at for entry in whole) > 4.0
