"""Configuration that was accepted is in force everywhere and never reverts."""

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
    """Publish changes one after another and return the last version."""
    version = get_version(fleet.entries["entry-0"])
    for share in range(1, count + 1):
        answer = await publish(fleet, version, share)
        version = answer.decode()["version"]
    return version


def note_versions(entry, landed):
    """Return a list that grows by what is in force after each read of the log.

    Only reads that began after `landed` was set count.
    """
    log = entry.configuration_replica.log
    read = log.read
    versions = []
    counts = [False]

    async def read_and_note(stream, *args, **fields):
        if stream == entry.configuration_replica.stream:
            if counts[0]:
                versions.append(get_version(entry))
            counts[0] = landed.is_set()
        return await read(stream, *args, **fields)

    log.read = read_and_note
    return versions


def test_change_is_in_force_after_one_read_of_the_log():
    """A change is in the log and the entries read on.

    An entry that needed more than the first read from then on would serve by the old
    configuration for as long as the log holds back each answer.
    """

    async def check(fleet):
        tap = durability.Tap(fleet.entries["entry-0"])
        landed = asyncio.Event()

        async def append(stream, records):
            first = await append_before(stream, records)
            if stream == "configuration":
                landed.set()
            return first

        append_before, tap.log.append = tap.log.append, append
        noted = [note_versions(entry, landed) for entry in fleet.entries.values()]
        version = get_version(fleet.entries["entry-0"])
        answer = await publish(fleet, version, 2, "entry-0")
        assert answer.status == 200
        await fleet.wait_for(lambda: all(noted))
        for versions in noted:
            assert set(versions) == {answer.decode()["version"]}

    durability.run(check)


def test_one_of_racing_operators_wins():
    """Operators amend the same version through different entries at once.

    If the last one won, the change of another would vanish though it was accepted.
    """

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        answers = await asyncio.gather(
            *(
                publish(fleet, version, share, f"entry-{share % 2}")
                for share in range(1, 7)
            )
        )
        won = [each.decode()["version"] for each in answers if each.status == 200]
        lost = [each.decode()["error"] for each in answers if each.status == 409]
        assert len(won) == 1 and len(lost) == 5
        for error in lost:
            assert error["code"] == "conflict"
            assert f"version {won[0]} by" in error["message"]
        for entry in fleet.entries.values():
            assert get_version(entry) == won[0]

    durability.run(check)


def test_lost_answer_to_a_publish():
    """The log takes a change and its answer is lost.

    The operator would hear of a failure while the change is in force.
    """

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        tap = durability.Tap(fleet.entries["entry-0"])
        taken = tap._append

        async def lose_answer(stream, records):
            first = await taken(stream, records)
            if stream == "configuration":
                raise exception.LogUnavailableError("no answer")
            return first

        tap._append = lose_answer
        answer = await publish(fleet, version, 3)
        assert answer.status == 200
        assert answer.decode()["in_force"] == 2

    durability.run(check)


def test_entry_that_starts_while_the_log_is_down():
    """An entry starts in an outage of the log, and meanwhile others serve.

    Without a configuration it must not say that it is ready; with that of another
    entry it serves, and it never goes back to an older one.
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
    """An entry sees nothing of the log during ten changes, and the log drops them.

    With the old state it would honour what was withdrawn; it must come to the newest
    one, without a step back, also when an old checkpoint comes first.
    """

    async def check(fleet):
        behind = fleet.entries["entry-1"]
        ahead = fleet.entries["entry-0"]
        tap = durability.Tap(behind)
        tap.reads.clear()
        await fleet.unregister_host("entry-1")
        old = await ahead.configuration_replica.make_checkpoint(200_000)
        version = await publish_many(fleet, 10)
        assert get_version(behind) < version
        fleet.log.append("configuration", old)
        dropped = fleet.log.get_offsets("configuration")[1] - 1
        for record in await ahead.configuration_replica.make_checkpoint(200_000):
            fleet.log.append("configuration", [record])
        fleet.log.truncate("configuration", dropped)
        tap.reads.set()
        await fleet.wait_for(lambda: get_version(behind) == version)
        assert behind.configuration.dump() == ahead.configuration.dump()

    durability.run(check)


def test_configuration_outlives_retention():
    """The log drops all changes while nobody publishes, and the entries are replaced.

    Customers would find their tokens unknown.
    """

    async def check(fleet):
        version = await publish_many(fleet, 3)
        head = fleet.log.get_offsets("configuration")[1]
        await fleet.wait_for(lambda: fleet.log.get_offsets("configuration")[0] >= head)
        # Nobody is left to ask: only the log can tell.
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


def test_garbled_records_are_told_and_change_nothing():
    """Somebody appends to the configuration stream himself and gets it wrong.

    The record is skipped everywhere; nobody would know why without the audit trail
    and a line in the log of each entry.
    """
    lines = []

    async def check(fleet):
        version = get_version(fleet.entries["entry-0"])
        garbled = [
            "no object",
            {"id": "ab" * 8, "type": "template", "name": "plain", "amends": "x"},
            {"type": "unheard of"},
        ]
        fleet.log.append("configuration", garbled)
        await fleet.wait_for(lambda: len(lines) == len(garbled) * len(fleet.entries))
        for entry in fleet.entries.values():
            notes = list(entry.configuration.audit)[-len(garbled) :]
            assert not any(note.accepted for note in notes)
            assert all(note.reason for note in notes)
        assert (await publish(fleet, version, 2)).status == 200

    sink = logger.add(lines.append, filter=lambda line: "no effect" in line["message"])
    try:
        durability.run(check)
    finally:
        logger.remove(sink)
