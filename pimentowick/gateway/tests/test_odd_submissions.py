"""Batch jobs that cannot be accepted, or not be run, as they were submitted."""

import base64

import orjson
import pytest

from pimentowick.fakes import replica, wait
from pimentowick.gateway.tests import test_job_api

WAIT_S = 20.0
POLL_S = 0.02


def make_item(**changes):
    body = base64.b64encode(b"body").decode()
    item = {"id": "odd", "path": "/lot/1", "headers": {}, "body": body, "tokens": 10}
    return item | changes


def run_with(check):
    test_job_api.run_with([replica.Replica()], check)


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
