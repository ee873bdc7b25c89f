"""Batch jobs that cannot be accepted, or not be run, as they were submitted."""

import base64

import orjson
import pytest

from pimentowick.fakes import replica, wait
from pimentowick.gateway import daemon, record
from pimentowick.gateway.tests import test_job_api

WAIT_S = 20.0
POLL_S = 0.02


def make_item(**changes):
    body = base64.b64encode(b"body").decode()
    item = {"id": "odd", "path": "/lot/1", "headers": {}, "body": body, "tokens": 10}
    return item | changes


def run_with(check):
    test_job_api.run_with([replica.Replica()], check)


async def run_sound_job(site):
    answer = await test_job_api.submit(site, test_job_api.make_body(1), "sound")
    assert answer.status == 202

    async def is_listed():
        status, data = await test_job_api.read(site, job_id="sound")
        return status == 200 and data["results"]

    await wait.wait_for(is_listed, WAIT_S, POLL_S)


ODD_ITEMS = {
    "line break in a header": {"headers": {"X-A": "a\r\nX-B: b"}},
    "NUL in a header": {"headers": {"X-A": "a\0b"}},
    "space in the name of a header": {"headers": {"X A": "a"}},
    "header without a name": {"headers": {"": "a"}},
    "header that cannot be encoded": {"headers": {"X-A": "\u6f22"}},
    "no identifier": {"id": ""},
    "line break in the identifier": {"id": "a\nb"},
    "identifier that cannot be encoded": {"id": "\u6f22"},
    "no path": {"path": ""},
    "relative path": {"path": "lot/1"},
    "space in the path": {"path": "/lot/a b"},
    "line break in the path": {"path": "/lot/1 HTTP/1.1\r\nX-A: b"},
}


@pytest.mark.parametrize("name", ODD_ITEMS)
def test_item_that_cannot_be_sent_is_not_accepted(name):
    # The job was accepted; its item never ran and was tried again without a pause.
    async def check(site):
        items = [make_item(id="good"), make_item(**ODD_ITEMS[name])]
        answer = await test_job_api.submit(site, orjson.dumps({"items": items}))
        assert answer.status == 400
        assert (await test_job_api.read(site))[0] == 404

    run_with(check)


def test_item_whose_run_raises_an_error_is_not_started_again_at_once():
    # Its run was started again without a pause, thousands of times a minute.
    async def check(site):
        (gateway,) = site.gateways
        starts = []

        async def send(run, target):
            starts.append(run.item.id)
            raise ValueError

        gateway.runner._send = send
        await test_job_api.submit(site, orjson.dumps({"items": [make_item()]}))
        await wait.wait_for(lambda: starts, WAIT_S, POLL_S)
        (run,) = gateway.runner.list_runs()
        await wait.wait_for(lambda: run.task is None, WAIT_S, POLL_S)
        assert run.not_before > 0

    run_with(check)


def test_job_without_an_identifier_is_not_accepted():
    # The second one was answered 202, as if it were the first, and never ran.
    async def check(site):
        for item_id in ("one", "two"):
            body = orjson.dumps({"items": [make_item(id=item_id)]})
            answer = await site.call("POST", "/lot/new", body)
            assert answer.status == 400

    run_with(check)


@pytest.mark.parametrize("size", [210, 211, 255, 256, 4_000])
def test_identifier_that_fits_in_no_key_is_refused(size):
    # The answer was a 500 of an error in the code, after which callers come again.
    async def check(site):
        body = test_job_api.make_body(200, tokens=1)
        answer = await test_job_api.submit(site, body, "j" * size)
        fits = size <= record.MAX_JOB_ID_BYTES
        assert answer.status == (202 if fits else 400)
        if fits:
            await run_sound_job(site)

    run_with(check)


def make_large_body(header_bytes):
    headers = {"X-Pimentowick-Prompt-Prefix": "p" * header_bytes}
    items = [make_item(id=f"item{n}", headers=headers, tokens=1) for n in range(200)]
    return orjson.dumps({"items": items})


def test_job_whose_record_is_too_large_is_refused_at_once():
    # It was answered 504 after seconds, each time, and meanwhile no other job could be
    # accepted at the entry.
    async def check(site):
        (gateway,) = site.gateways
        answer = await test_job_api.submit(site, make_large_body(2_000), "large")
        assert answer.status == 413
        assert not site.store.get_partition(daemon.JOBS_TOPIC, 0).records
        await wait.wait_for(lambda: gateway.storage.is_loaded, WAIT_S, POLL_S)
        assert await gateway.storage.contents.read_all("large") == {}
        answer = await test_job_api.submit(site, make_large_body(500), "allowed")
        assert answer.status == 202

    run_with(check)


def test_large_item_is_stored_in_several_appends():
    # A body or a text beyond the size of an append was never stored: the job was
    # answered 503, or its item ran again and again.
    async def check(site):
        (gateway,) = site.gateways
        contents = gateway.storage.contents
        appends = []
        append = contents._store.append

        async def record_append(topic, part, records, at):
            appends.append(sum(len(row.key) + len(row.value) for row in records))
            return await append(topic, part, records, at)

        contents._store.append = record_append
        value = bytes(range(256)) * 12_000
        written = await contents.put("j", {"b/0/w": value, "b/1/w": b"x"}, 5)
        assert max(appends) < gateway.settings.call_bytes
        read = await contents.read("j", list(written.values()), cache=False)
        assert read == {"b/0/w": value, "b/1/w": b"x"}
        for partition in site.store.partitions.values():
            partition.trim(partition.end)
        assert await contents.read("j", list(written.values()), cache=False) == read

    run_with(check)


def test_known_job_is_confirmed_though_it_would_not_be_accepted_now():
    # Guards against a job that an entry of an earlier release has accepted, and that is
    # turned away with a 400 each time that it comes again.
    async def check(site):
        answer = await test_job_api.submit(
            site, orjson.dumps({"items": [make_item()]}), "job1"
        )
        assert answer.status == 202
        again = orjson.dumps({"items": [make_item(path="/lot/a b")]})
        assert (await test_job_api.submit(site, again, "job1")).status == 202

    run_with(check)
