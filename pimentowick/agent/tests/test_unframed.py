"""Calls to a service that ends its responses by closing the connection."""

import pytest

from pimentowick.fakes import broken_answers, embedded, raw_target

PATH = f"/v1/services/{embedded.SERVICE}/confirm"
FIELDS = b"Content-Type: application/json\r\n" + broken_answers.CLOSES
BODY = b'{"confirmed":{"seat":7},"run":1}'


def answer_unframed(headers):
    data = broken_answers.make_answer(fields=FIELDS, body=b"\r\n" + BODY)
    return raw_target.Answer(data)


def run_with_service(check):
    """Run ``check(fleet, service)`` with an entry, an agent and such a service."""

    async def run_check(fleet):
        service = raw_target.RawTarget(answer_unframed)
        await fleet.add_target("raw-0", "service", embedded.SERVICE, service)
        await fleet.wait_for(fleet.is_ready)
        await check(fleet, service)

    embedded.run(run_check, entries=1, engines=0, services=0)


@pytest.mark.parametrize("headers", [{}, {"Idempotency-Key": "k1"}])
def test_whole_response_reaches_the_caller_after_one_run(headers):
    # It was answered 502 although the call had run, which may run only once.
    async def check(fleet, service):
        response = await fleet.fetch("POST", PATH, b"{}", headers=headers)
        assert (response.status, response.body) == (200, BODY)
        assert len(service.requests) == 1

    run_with_service(check)


def test_cut_response_is_refused_and_not_repeated():
    # The call may have run.
    async def check(fleet, service):
        cut = answer_unframed({}).data[:-1]
        service.planned = [raw_target.Answer(cut)]
        response = await fleet.fetch("POST", PATH, b"{}")
        error = response.decode()["error"]
        assert (response.status, error["code"]) == (502, "target_lost")
        assert error["verdict"] == "may_have_run"
        assert len(service.requests) == 1

    run_with_service(check)
