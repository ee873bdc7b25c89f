"""Targets whose answers are broken: statuses, heads, framing, ends."""

import asyncio
import dataclasses
import functools
import itertools

import pytest
from tornado import httputil

from pimentowick.fakes import broken_answers, raw_target
from pimentowick.gateway import connection_pool, runner, target, upstream
from pimentowick.gateway.tests import raw_site

UPLOAD_BYTES = 3_000_000


@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS)
def test_sound_answer_is_passed_on(path):
    # Otherwise the other tests of this file could not fail.
    async def check(site, planned, servers):
        raw_site.assert_whole(await raw_site.send(site, path), path)

    raw_site.run_with(check, path)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("status", broken_answers.STATUSES)
@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS)
def test_status_outside_the_protocol_reaches_no_caller(path, status, interim):
    # Callers got "0 Unknown" with the body of the target.
    data = raw_site.SOUND[raw_site.get_prefix(path)].replace(
        b"200 OK", status + b" Odd"
    )
    raw_site.check_broken(
        path, raw_target.Answer(interim + data, raw_target.Ending.KEEP)
    )


def damage_framing(path, damage, closes):
    """Return an answer whose framing is lost, and that may announce its close."""
    sound = raw_site.SOUND[raw_site.get_prefix(path)].replace(
        broken_answers.FIELDS, closes + broken_answers.FIELDS
    )
    return raw_target.Answer(broken_answers.damage_framing(sound, damage))


# The bytes of a sound answer without framing remain: the body of the target, and the
# close that it has announced.
HARMLESS_DAMAGES = [
    (path, damage, broken_answers.CLOSES)
    for path in raw_site.PLAIN_PATHS
    for damage in ("changed name", "dropped")
]


@pytest.mark.parametrize(
    ("path", "damage", "closes"),
    [
        case
        for case in itertools.product(
            raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS,
            broken_answers.DAMAGES,
            [b"", broken_answers.CLOSES],
        )
        if case not in HARMLESS_DAMAGES
    ],
)
def test_answer_whose_framing_is_lost_is_not_taken_for_whole(path, damage, closes):
    # Callers got frames, the rest of the head or a part of the body as a whole answer.
    raw_site.check_broken(path, damage_framing(path, damage, closes))


@pytest.mark.parametrize(("path", "damage", "closes"), HARMLESS_DAMAGES)
def test_answer_that_is_sound_without_its_framing_is_whole(path, damage, closes):
    # It would be lost to its caller if it may run once.
    raw_site.check_whole(path, damage_framing(path, damage, closes))


@pytest.mark.parametrize(
    ("closes", "size", "ending"),
    [
        (b"", 0, raw_target.Ending.CLOSE),
        (b"", 10, raw_target.Ending.CLOSE),
        (broken_answers.CLOSES, 0, raw_target.Ending.CLOSE),
        *(
            (broken_answers.CLOSES, size, each)
            for size in (0, 10)
            for each in raw_site.BREAKS
        ),
    ],
)
@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS)
def test_plain_answer_without_framing_may_be_cut(path, ending, size, closes):
    # A closed connection does not tell whether the body was complete.
    data = broken_answers.make_answer(
        fields=broken_answers.FIELDS + closes, body=b"\r\n" + broken_answers.BODY[:size]
    )
    raw_site.check_broken(path, raw_target.Answer(data, ending))


@pytest.mark.parametrize(
    ("count", "ending"),
    [
        (0, raw_target.Ending.CLOSE),
        *((count, ending) for count in (0, 1, 3) for ending in raw_site.BREAKS),
    ],
)
@pytest.mark.parametrize("path", raw_site.STREAM_PATHS)
def test_stream_without_framing_may_be_cut(path, count, ending):
    # A closed connection does not tell whether there were more events.
    body = b"\r\n" + b"".join(broken_answers.EVENTS[:count])
    data = broken_answers.make_answer(
        fields=broken_answers.FIELDS + broken_answers.CLOSES, body=body
    )
    raw_site.check_broken(path, raw_target.Answer(data, ending))


@pytest.mark.parametrize("ending", raw_site.BREAKS)
def test_stream_without_framing_is_continued_after_its_last_event(ending):
    # Running it anew would send its events twice.
    async def check(site, planned, servers):
        body = b"\r\n" + b"".join(broken_answers.EVENTS)
        data = broken_answers.make_answer(
            fields=broken_answers.FIELDS + broken_answers.CLOSES, body=body
        )
        planned.append(raw_target.Answer(data, ending))
        assert (await raw_site.send(site, "/chat/1")).is_success
        sent = [headers for server in servers for headers in server.requests]
        assert sorted(row.get("last-event-id", "") for row in sent) == ["", "3"]

    raw_site.run_with(check, "/chat/1", started_ms=raw_site.STARTED_MS)


def answer_without_framing(headers):
    """Return the answer of a target that never frames its streams."""
    rest = b"".join(broken_answers.EVENTS[int(headers.get("last-event-id", 0)) :])
    return raw_target.Answer(
        broken_answers.make_answer(
            fields=broken_answers.FIELDS + broken_answers.CLOSES, body=b"\r\n" + rest
        )
    )


@pytest.mark.parametrize("ending", raw_site.BREAKS)
def test_stream_of_targets_that_never_frame_looks_cut_after_its_events(ending):
    # That a continuation has no events, and no end either, does not show a whole one.
    async def check(site, planned, servers):
        for server in servers:
            server.answer = answer_without_framing
        planned.append(dataclasses.replace(answer_without_framing({}), ending=ending))
        received = await raw_site.send(site, "/chat/1")
        assert not received.is_whole, received
        assert received.body == b"".join(broken_answers.EVENTS)

    raw_site.run_with(check, "/chat/1", targets=3, started_ms=raw_site.STARTED_MS)


# Answers to an item that are not whole, or not known to be.
BROKEN_ITEMS = {
    "status 000": raw_site.SOUND["/lot/"].replace(b"200 OK", b"000 OK"),
    "cut": broken_answers.make_answer(
        fields=broken_answers.FIELDS + broken_answers.CLOSES,
        body=b"\r\n" + broken_answers.EVENTS[0],
    ),
    "all events": broken_answers.make_answer(
        fields=broken_answers.FIELDS + broken_answers.CLOSES,
        body=b"\r\n" + b"".join(broken_answers.EVENTS),
    ),
    **{
        damage: broken_answers.damage_framing(raw_site.SOUND["/lot/"], damage)
        for damage in broken_answers.DAMAGES
    },
    **{
        f"{damage}, closes": broken_answers.damage_framing(
            raw_site.SOUND["/lot/"].replace(
                broken_answers.FIELDS, broken_answers.CLOSES + broken_answers.FIELDS
            ),
            damage,
        )
        for damage in broken_answers.DAMAGES
    },
}


@pytest.mark.parametrize("answer", BROKEN_ITEMS)
def test_item_with_a_broken_answer_is_listed_with_its_whole_text(answer):
    # It was listed as done with what had arrived.
    async def check(site, planned, servers):
        planned.append(raw_target.Answer(BROKEN_ITEMS[answer]))
        assert await raw_site.run_item(site) == ("done", raw_site.TEXT)

    raw_site.run_with(check, "/lot/1")


def test_item_of_targets_that_never_frame_is_listed_as_done():
    # It would run again and again until it is given up.
    async def check(site, planned, servers):
        for server in servers:
            server.answer = answer_without_framing
        assert await raw_site.run_item(site) == ("done", raw_site.TEXT)
        runs = sum(len(server.requests) for server in servers)
        assert runs == 1 + runner.CONFIRMING_RUNS
        assert sum(server.reports for server in servers) == runner.CONFIRMING_RUNS

    raw_site.run_with(check, "/lot/1")


@pytest.mark.parametrize(
    "ending", [raw_target.Ending.CLOSE, raw_target.Ending.RESET, raw_target.Ending.STOP]
)
@pytest.mark.parametrize("path", ["/chat/1", "/lot/1"])
def test_continuation_that_is_cut_before_an_event_does_not_complete(path, ending):
    # If the target ends, its kernel closes the connection in order, too.
    async def check(site, planned, servers):
        head = broken_answers.make_answer(
            fields=broken_answers.FIELDS + broken_answers.CLOSES, body=b"\r\n"
        )
        first = raw_target.Answer(
            head + broken_answers.EVENTS[0], raw_target.Ending.STOP
        )
        planned.append(first)
        planned.append(raw_target.Answer(head, ending))
        if path == "/lot/1":
            assert await raw_site.run_item(site) == ("done", raw_site.TEXT)
            return
        received = await raw_site.send(site, path)
        assert received.is_success, received
        assert received.body == b"".join(broken_answers.EVENTS)

    raw_site.run_with(check, path, targets=3)


# Answers whose head contradicts itself or the body that follows.
CONTRADICTIONS = {
    "chunks of an old version": (b"1.1 200 OK", b"1.0 200 OK", broken_answers.CHUNKED),
    "no content, with a length": (
        b"200 OK",
        b"205 Reset Content",
        broken_answers.LENGTH,
    ),
    "no content, with chunks": (
        b"200 OK",
        b"205 Reset Content",
        broken_answers.CHUNKED,
    ),
    "empty signature": (b"Stamp: s", b"Stamp: ", broken_answers.LENGTH),
    "blank signature": (b"Stamp: s", b"Stamp:  \t", broken_answers.LENGTH),
}


@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS)
@pytest.mark.parametrize("answer", CONTRADICTIONS)
def test_head_that_contradicts_its_body_reaches_no_caller(answer, path):
    # A body where there is none, frames of another version, a signature of nobody.
    changed, replacement, framing = CONTRADICTIONS[answer]
    chunks = (
        [broken_answers.BODY] if path in raw_site.PLAIN_PATHS else broken_answers.EVENTS
    )
    body = b"".join(chunks)
    if framing == broken_answers.CHUNKED:
        body = broken_answers.encode_chunks(chunks)
    else:
        framing = b"Content-Length: %d" % len(body)
    data = broken_answers.change_framing(framing, body).replace(changed, replacement)
    raw_site.check_broken(path, raw_target.Answer(data, raw_target.Ending.KEEP))


@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS)
def test_answer_without_content_is_passed_on(path):
    # The checks of its framing must not reject a sound one.
    async def check(site, planned, servers):
        head = broken_answers.make_answer(start=b"HTTP/1.1 205 Reset Content", body=b"")
        data = head + b"Content-Length: 0\r\n\r\n"
        planned.append(raw_target.Answer(data, raw_target.Ending.KEEP))
        received = await raw_site.send(site, path)
        assert (received.status, received.body, received.is_whole) == (205, b"", True)

    raw_site.run_with(check, path)


@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS)
@pytest.mark.parametrize("answer", broken_answers.MALFORMED_HEADS)
def test_malformed_head_reaches_no_caller(answer, path):
    # A line of it would be passed on, or the body would be another one.
    raw_site.check_broken(
        path, raw_target.Answer(broken_answers.MALFORMED_HEADS[answer])
    )


@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS)
@pytest.mark.parametrize("answer", broken_answers.MALFORMED_FRAMINGS)
def test_body_with_malformed_framing_is_not_whole(answer, path):
    # It is not known which bytes are the body.
    raw_site.check_broken(
        path, raw_target.Answer(broken_answers.MALFORMED_FRAMINGS[answer])
    )


@pytest.mark.parametrize("ending", [raw_target.Ending.CLOSE, raw_target.Ending.RESET])
@pytest.mark.parametrize("path", raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS)
@pytest.mark.parametrize("answer", broken_answers.CUT_ANSWERS)
def test_answer_that_stops_before_its_end_is_not_whole(answer, path, ending):
    # Callers would get a 200 with an empty or short body, framed as whole.
    raw_site.check_broken(
        path, raw_target.Answer(broken_answers.CUT_ANSWERS[answer], ending)
    )


@pytest.mark.parametrize("closes", [b"", broken_answers.CLOSES])
@pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK"])
@pytest.mark.parametrize("ending", [raw_target.Ending.CLOSE, raw_target.Ending.RESET])
@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_part_of_an_answer_during_an_upload_is_not_whole(path, ending, start, closes):
    # A target answers before it has read a long body, sends a part, and closes.
    events = (
        broken_answers.EVENTS[0] if path == "/draft/1" else broken_answers.BODY[:10]
    )
    for framing in (b"\r\n", broken_answers.CHUNKED + b"\r\n\r\n1e\r\n"):
        data = broken_answers.make_answer(
            start, broken_answers.FIELDS + closes, framing + events
        )
        answer = raw_target.Answer(data, ending, is_early=True)

        async def check(site, planned, servers, answer=answer):
            planned.append(answer)
            received = await raw_site.send(site, path, body=bytes(UPLOAD_BYTES))
            assert not received.is_success, received
            assert sum(len(server.requests) for server in servers) == 1

        raw_site.run_with(check, path)


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
@pytest.mark.parametrize(
    "answer",
    [
        *(
            {**broken_answers.MALFORMED_HEADS, **broken_answers.MALFORMED_FRAMINGS}
        ).values(),
        broken_answers.make_answer(start=b"HTTP/1.1 000 OK"),
        broken_answers.damage_framing(broken_answers.make_answer(), "dropped"),
    ],
)
def test_request_with_a_malformed_answer_is_not_suspected_of_a_crash(answer, path):
    # It would be quarantined after a few of them, though its targets live on.
    async def check(site, planned, servers):
        planned.append(raw_target.Answer(answer))
        assert not await raw_site.find_suspects(site, path, b"sound")

    raw_site.run_with(check, path)


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
@pytest.mark.parametrize("answer", ["nothing", "part of a field", "part of a chunk"])
def test_request_whose_connection_closes_is_suspected_of_a_crash(answer, path):
    # Otherwise a request that crashes its targets would reach all of them.
    async def check(site, planned, servers):
        planned.append(raw_target.Answer(broken_answers.CUT_ANSWERS[answer]))
        assert await raw_site.find_suspects(site, path, b"deadly")

    raw_site.run_with(check, path)


REPORT = raw_target.make_report(b'{"born":5}')
BROKEN_REPORTS = {
    "status 000": REPORT.replace(b"200 OK", b"000 OK"),
    "status 600": REPORT.replace(b"200 OK", b"600 OK"),
    "no framing": REPORT.replace(b"Content-Length: 10\r\n", b""),
    "no framing, closes": REPORT.replace(b"Content-Length: 10", b"Connection: close"),
    "blank in a name": REPORT.replace(b"Content-", b"Content "),
    "cut head": REPORT[:30],
    "cut body": REPORT[:-2],
}


@pytest.mark.parametrize("name", [*BROKEN_REPORTS, "sound"])
def test_broken_report_confirms_no_run_of_a_target(name):
    # A stream would go on at a run of which nothing is known.
    async def run():
        server = raw_target.RawTarget(
            functools.partial(raw_site.answer_soundly, "/fetch/1")
        )
        data = BROKEN_REPORTS.get(name, REPORT)
        server.report = raw_target.Answer(data)
        if name == "sound":
            server.report = raw_target.Answer(data, raw_target.Ending.KEEP)
        await server.start()
        ip, _, port = server.address.rpartition(":")
        pool = connection_pool.Pool(ip, int(port))
        check = target.RunCheck(5, "v1", is_required=True)
        headers = httputil.HTTPHeaders({"X-Pimentowick-Request-Id": "r1"})
        request = upstream.Request("r1", "POST", "/x", headers, b"", run_check=check)
        outcome = await pool.send(request, IgnoringSink())
        is_sound = name == "sound"
        assert check.is_confirmed == is_sound
        assert (outcome.end == upstream.End.NOT_RUN) != is_sound
        assert bool(server.requests) == is_sound
        pool.close()
        await server.close()

    asyncio.run(run())


class IgnoringSink(upstream.Sink):
    async def on_headers(self, status, headers, answer):
        pass

    async def on_chunk(self, chunk):
        pass
