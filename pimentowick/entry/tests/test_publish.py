"""Accepted configuration changes reach all entries and are never reverted."""

import asyncio

from loguru import logger

from pimentowick import exception
from pimentowick.entry.tests import durability
from pimentowick.fakes import embedded, faults


def make_template(share):
    body = {**embedded.TEMPLATE, "parameters": {"share": {"type": "number"}}}
    body["parameters"]["share"]["default"] = float(share)
    return body


async def publish(fleet, amends, share, entry=None):
    message = {"amends": amends, "body": make_template(share), "wait": True}
    path = "/v1/admin/template/plain"
    return await fleet.fetch(
        "PUT", path, message, entry=entry, token=fleet.operator_token, timeout_s=15
    )


def get_version(entry):
    return entry.configuration.get_document("template", "plain").version


async def publish_many(fleet, count):
    """Publish `count` changes in sequence and return the last version."""
    version = get_version(fleet.entries["entry-0"])
    for share in range(1, count + 1):
        answer = await publish(fleet, version, share)
        version = answer.decode()["version"]
    return version


def record_versions(entry, appended):
    """Return a list to which the current version is added after each read of the log.

    Only reads that start after `appended` is set are recorded.
    """
    log = entry.configuration_replica.log
    read = log.read
    versions = []
    counts = [False]

    async def read_and_record(stream, *args, **fields):
        if stream == entry.configuration_replica.stream:
            if counts[0]:
                versions.append(get_version(entry))
            counts[0] = appended.is_set()
        return await read(stream, *args, **fields)

    log.read = read_and_record
    return versions


def test_change_is_in_force_after_one_read_of_the_log():
    """An entry applies a change with its first read after the append. Needing a second
    read would delay the change by another long poll.
    """

    async def check(fleet):
        interceptor = durability.LogInterceptor(fleet.entries["entry-0"])
        appended = asyncio.Event()

        async def append(stream, records):
            first = await original_append(stream, records)
            if stream == "configuration":
                appended.set()
            return first

        original_append, interceptor.log.append = interceptor.log.append, append
        recorded = [
            record_versions(entry, appended) for entry in fleet.entries.values()
        ]
        version = get_version(fleet.entries["entry-0"])
        answer = await publish(fleet, version, 2, "entry-0")
        assert answer.status == 200
        await fleet.wait_for(lambda: all(recorded))
        for versions in recorded:
            assert set(versions) == {answer.decode()["version"]}

    durability.run(check)


def test_one_of_several_concurrent_changes_is_accepted():
    """Several operators amend the same version concurrently. Exactly one is accepted; a
    last write that wins would silently discard an accepted change.
    """

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        answers = await asyncio.gather(
            *(
                publish(fleet, version, share, f"entry-{share % 2}")
                for share in range(1, 7)
            )
        )
        accepted = [each.decode()["version"] for each in answers if each.status == 200]
        rejected = [each.decode()["error"] for each in answers if each.status == 409]
        assert len(accepted) == 1 and len(rejected) == 5
        for error in rejected:
            assert error["code"] == "conflict"
            assert f"version {accepted[0]} by" in error["message"]
        for entry in fleet.entries.values():
            assert get_version(entry) == accepted[0]

    durability.run(check)


def test_lost_answer_to_a_publish():
    """The append of a change takes effect but its response is lost. The change must not
    be reported as failed.
    """

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        interceptor = durability.LogInterceptor(fleet.entries["entry-0"])
        original_append = interceptor._append

        async def lose_answer(stream, records):
            first = await original_append(stream, records)
            if stream == "configuration":
                raise exception.LogUnavailableError("no answer")
            return first

        interceptor._append = lose_answer
        answer = await publish(fleet, version, 3)
        assert answer.status == 200
        assert answer.decode()["in_force"] == 2

    durability.run(check)


def test_entry_that_starts_while_the_log_is_down():
    """An entry that starts while the log is down is not ready until it installs the
    configuration of another entry, and never reverts to an older version.
    """

    async def check(fleet):
        version = await publish_many(fleet, 2)
        fleet.log.fault_injector.inject(faults.Fault("down"))
        hosts = dict(fleet.entries)
        for name in hosts:
            await fleet.unregister_host(name)
        late = await fleet.add_entry("late")
        await fleet.wait_for(lambda: set(late.fleet.entries) == {"late"})
        answer = await fleet.client.fetch("GET", late.address, "/ready")
        assert answer.status == 503 and not late.is_ready
        refused = await fleet.chat("hello", entry="late")
        assert refused.decode()["error"]["verdict"] == "not_run"
        for name, entry in hosts.items():
            await fleet.register_host(name, "entry", entry.address)
        await fleet.wait_for(lambda: late.is_ready)
        assert get_version(late) == version
        assert (await fleet.chat("hello", entry="late")).status == 200
        fleet.log.fault_injector.inject(faults.Fault("clear"))
        newest = (await publish(fleet, version, 5, "late")).decode()
        assert newest["version"] > version and newest["in_force"] == 3

    durability.run(check)


def test_entry_that_missed_ten_changes():
    """An entry cannot read the log during ten changes, which are then truncated. It
    must reach the newest version, even if it reads an older checkpoint first.
    """

    async def check(fleet):
        behind = fleet.entries["entry-1"]
        ahead = fleet.entries["entry-0"]
        interceptor = durability.LogInterceptor(behind)
        interceptor.reads.clear()
        await fleet.unregister_host("entry-1")
        old = await ahead.configuration_replica.make_checkpoint(200_000)
        version = await publish_many(fleet, 10)
        assert get_version(behind) < version
        fleet.log.append("configuration", old)
        dropped = fleet.log.get_offsets("configuration")[1] - 1
        for record in await ahead.configuration_replica.make_checkpoint(200_000):
            fleet.log.append("configuration", [record])
        fleet.log.truncate("configuration", dropped)
        interceptor.reads.set()
        await fleet.wait_for(lambda: get_version(behind) == version)
        assert behind.configuration.dump() == ahead.configuration.dump()

    durability.run(check)


def test_configuration_outlives_retention():
    """The log deletes all changes by retention and the entries are replaced. The
    configuration has to survive in a checkpoint.
    """

    async def check(fleet):
        version = await publish_many(fleet, 3)
        head = fleet.log.get_offsets("configuration")[1]
        await fleet.wait_for(lambda: fleet.log.get_offsets("configuration")[0] >= head)
        # No other entry is left to bootstrap from, only the log.
        for name in list(fleet.entries):
            await fleet.crash(name)
            await fleet.unregister_host(name)
        new = await fleet.add_entry("new")
        await fleet.wait_for(lambda: new.is_ready and new.fleet.peers)
        assert get_version(new) == version
        assert (await fleet.chat("hello", entry="new")).status == 200

    retention = {"log_retention_s": 3.0}
    durability.run(
        check,
        entry_settings={"platform": retention},
        log_settings={"retention_s": 3.0},
    )


def test_malformed_records_are_logged_and_have_no_effect():
    """Malformed records in the configuration stream have no effect. Each one is audited
    and logged by every entry.
    """
    lines = []

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        malformed = [
            "no object",
            {"id": "ab" * 8, "type": "template", "name": "plain", "amends": "x"},
            {"type": "unheard of"},
        ]
        fleet.log.append("configuration", malformed)
        await fleet.wait_for(lambda: len(lines) == len(malformed) * len(fleet.entries))
        for entry in fleet.entries.values():
            audit_entries = list(entry.configuration.audit)[-len(malformed) :]
            assert not any(audit_entry.accepted for audit_entry in audit_entries)
            assert all(audit_entry.reason for audit_entry in audit_entries)
        assert (await publish(fleet, version, 2)).status == 200

    sink = logger.add(lines.append, filter=lambda line: "no effect" in line["message"])
    try:
        durability.run(check)
    finally:
        logger.remove(sink)
