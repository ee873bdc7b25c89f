"""Online requests while targets, agents, entries and connections fail."""

import asyncio
import time

import pytest

from pimentowick.batch import record
from pimentowick.external import engine as external_engine
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded, engine, faults, relay

run = fake_callers.run_with_callers
GENERATE = "/generate"


def place(target, kind, **fields):
    target.board.place(faults.Order(kind, **fields))


def list_engines(fleet):
    return [fleet.targets[name] for name in sorted(fleet.targets) if name[:2] == "lm"]


def break_once(fleet, kind):
    """Return a function that breaks the stream once some of it has come."""
    done = []

    def on_text(outcome):
        if outcome.text and not done:
            done.append(True)
            for each in list_engines(fleet):
                if each.running:
                    place(each, kind, count=1, path=GENERATE)

    return on_text


class MuddledEngine(engine.Engine):
    """Sends every token twice, beside those of other requests and attempts."""

    def _emit(self, stream):
        junk = {"index": stream.index, "text": " wrong"}
        for request_id, attempt in [("other", 1), (stream.request_id, 0)]:
            other = engine._Stream(request_id, attempt, "", 1, 0, stream.sink)
            stream.sink.send(other.make_line(**junk) + other.make_end("stop"), False)
        if stream.index:
            stream.index -= 1
            stream.sink.send(stream.make_step(), False)
        super()._emit(stream)


def test_each_of_many_callers_gets_its_own_answer():
    """Engines mix up answers, repeat lines, and send what earlier attempts asked for.

    A caller would read a text that belongs to somebody else, or words twice.
    """

    async def check(fleet, callers):
        for index in range(2):
            target = MuddledEngine(models=[embedded.MODEL], base_step_ms=2)
            name = f"lm-muddled-{index}"
            await fleet.add_target(name, "engine", embedded.MODEL, target)
        await fleet.wait_for(fleet.is_ready)
        calls = [
            ask(f"question {number}", 12, entry=f"entry-{number % 2}")
            for number in range(40)
            for ask in (callers.chat, callers.stream)
        ]
        outcomes = await asyncio.gather(*calls)
        assert all(outcome.whole for outcome in outcomes)

    run(check, engines=0)


@pytest.mark.parametrize("kind", ["cut", "stall"])
def test_broken_stream_goes_on_at_another_engine(kind):
    """An engine breaks off, or falls silent, in the middle of an answer.

    The caller of a stream has a part of it already. The rest has to follow without
    a token lost or doubled, though it comes from another engine.
    """

    async def check(fleet, callers):
        on_text = break_once(fleet, kind)
        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.whole
        assert callers.count_runs(outcome.request_id) == 2

    run(check, agent_settings={"idle_s": 0.5})


def test_stream_goes_on_after_its_agent_died():
    """The process beside the engine dies while an answer passes through it."""

    async def check(fleet, callers):
        crashes = []

        def on_text(outcome):
            if outcome.text and not crashes:
                busy = [n for n in fleet.agents if fleet.agents[n].running]
                crashes.append(asyncio.ensure_future(fleet.crash(busy[0])))

        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.whole and crashes

    run(check)


def test_stream_that_cannot_go_on_ends_with_an_error():
    """All engines break off whatever they answer.

    A client takes a stream for whole when it sees the end mark, so there must be
    none, and an event has to say what is known instead.
    """

    async def check(fleet, callers):
        def on_text(outcome):
            for each in list_engines(fleet):
                if not each.board.orders:
                    place(each, "cut", path=GENERATE)

        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.text and not outcome.whole
        assert outcome.verdict == "may_have_run"
        assert outcome.error["retry_after"]

    run(check)


@pytest.mark.parametrize(
    "kind, verdict",
    [
        ("down", "not_run"),
        ("lose_answer", "may_have_run"),
        ("cut", "may_have_run"),
        ("closed", "not_run"),
    ],
)
def test_refusal_says_what_is_known(kind, verdict):
    """Every target fails in the same way, before or after it began to work.

    Callers act on what the refusal says: "not run" makes them send again.
    """

    async def check(fleet, callers):
        for target in fleet.targets.values():
            if kind == "closed":
                await target.close()
            else:
                place(target, kind)
        outcomes = [await callers.chat("x"), await callers.stream("y")]
        if kind != "down":
            # A service's own 503 is its answer and is handed on as such.
            outcomes += [await callers.confirm(), await callers.confirm("k")]
        for outcome in outcomes:
            assert outcome.verdict == verdict, outcome
            assert outcome.error["retry_after"]

    run(check)


async def resend_until_final(fleet, callers, key):
    """Send a keyed call through all entries in turn until its outcome is known."""
    for number in range(200):
        names = sorted(fleet.entries)
        outcome = await callers.confirm(key, entry=names[number % len(names)])
        if outcome.whole or outcome.verdict == "ran":
            return outcome
        if outcome.verdict == "may_have_run" and fleet.targets["desk-0"].keys[key]:
            # Ran with its answer lost: nobody can ever say more.
            return outcome
        await asyncio.sleep(0.02)
    raise AssertionError("The call stayed without an outcome.")


@pytest.mark.parametrize("fault", ["lose_answer", "cut", "agent", "entry", "log"])
def test_keyed_call_runs_at_most_once(fault):
    """The first answer to a call is lost, and its caller asks again and again.

    The resends come through other entries, while the service, the agent, the entry
    that held the claim or the log fails. A stand must not be confirmed twice.
    """

    async def check(fleet, callers):
        desk = fleet.targets["desk-0"]
        body = {"stand": 1, "hold_s": 0.2}
        first = asyncio.ensure_future(callers.confirm("k", body, entry="entry-1"))
        if fault in ("lose_answer", "cut"):
            place(desk, fault, count=1)
        await fleet.wait_for(lambda: desk.keys["k"] or first.done())
        if fault == "agent":
            await fleet.crash("agent-desk-0")
            await fleet.add_agent("agent-desk-0", "desk-0", "service", embedded.SERVICE)
        elif fault == "entry":
            await fleet.crash("entry-1")
        elif fault == "log":
            place(fleet.log, "down", count=30)
        again = asyncio.ensure_future(callers.confirm("k", body, entry="entry-0"))
        await asyncio.gather(first, again)
        await fleet.wait_for(fleet.is_ready) if fault != "entry" else None
        for name in list(fleet.entries) * 3:
            await callers.confirm("k", body, entry=name)
        assert desk.keys["k"] == 1

    run(check)


def test_keyed_call_waits_out_a_log_outage():
    """The log is down when a call arrives, and answers again later.

    Without the claim nobody may run the call. The refusal is true, and the same call
    goes through once the log is back.
    """

    async def check(fleet, callers):
        place(fleet.log, "down")
        refused = await callers.confirm("k")
        assert refused.verdict == "not_run"
        place(fleet.log, "clear")
        outcome = await resend_until_final(fleet, callers, "k")
        assert outcome.whole
        assert fleet.targets["desk-0"].keys["k"] == 1

    run(check, entry_settings={"append_s": 0.5})


@pytest.mark.parametrize("kind", ["lose_answer", "cut"])
def test_call_without_key_is_never_tried_again(kind):
    """A service ran a call and its answer is lost; there is a second service.

    Only the caller can know whether a second run is wanted.
    """

    async def check(fleet, callers):
        for name in ("desk-0", "desk-1"):
            place(fleet.targets[name], kind, path="/confirm")
        outcome = await callers.confirm()
        assert outcome.verdict == "may_have_run"
        assert callers.count_runs(outcome.request_id) == 1

    run(check, services=2)


@pytest.mark.parametrize("times", [1, 2])
def test_connections_to_agents_fall_silent_for_good(times):
    """Something between entries and agents forgets every open connection, even twice.

    New connections work. Nobody is told; requests on the old ones would wait for
    ever, and calls that must not be repeated must not be tried again.
    """

    async def check(fleet, callers):
        async with relay.put_relays(fleet, "agent") as relays:
            for number in range(times):
                before = [callers.chat(f"warm {number} {i}") for i in range(8)]
                await asyncio.gather(*before, callers.confirm(f"warm {number}"))
                running = [callers.stream(f"run {number} {i}", 200) for i in range(4)]
                tasks = [asyncio.ensure_future(each) for each in running]
                await fleet.wait_for(
                    lambda: sum(len(each.running) for each in list_engines(fleet)) >= 4
                )
                for each in relays:
                    each.freeze()
                after = [callers.chat(f"after {number} {i}") for i in range(8)]
                keyed = callers.confirm(f"k{number}")
                outcomes = await asyncio.gather(*tasks, *after, keyed)
                assert all(outcome.whole for outcome in outcomes)

    run(check, entry_settings={"idle_s": 0.5})


def test_connections_to_engines_and_log_fall_silent_for_good():
    """Two hops go silent together, from agents to targets and from all to the log."""

    async def check(fleet, callers):
        await asyncio.gather(*(callers.chat(f"warm {i}") for i in range(8)))
        await callers.confirm("warm")
        for each in [*fleet.targets.values(), fleet.log]:
            place(each, "freeze")
        outcomes = await asyncio.gather(*(callers.chat(f"after {i}") for i in range(8)))
        assert all(outcome.whole for outcome in outcomes)
        final = await resend_until_final(fleet, callers, "k")
        assert final.whole

    run(check, agent_settings={"idle_s": 0.5}, entry_settings={"append_s": 5.0})


def test_deadline_ends_a_request_and_blames_no_target():
    """A caller allows less time than the answer takes, again and again.

    It gets its refusal when its time is over. If that counted as a failure of the
    target, one caller could eject all targets for everybody.
    """

    async def check(fleet, callers):
        for _ in range(4):
            late = {"X-Deadline": str(time.time() + 0.15)}
            outcomes = await asyncio.gather(
                callers.chat("long", 500, headers=late),
                callers.confirm(body={"hold_s": 3.0}, headers=late),
            )
            for outcome in outcomes:
                assert outcome.status == 504
                assert outcome.error["code"] == "deadline_passed"
        peers = fleet.entries["entry-0"].fleet.peers.values()
        assert all(peer.failures == 0 for peer in peers)
        await fleet.wait_for(lambda: not any(e.running for e in list_engines(fleet)))

    run(check)


def test_caller_that_leaves_frees_its_places():
    """Callers disconnect in the middle of their answers, and while they wait.

    The engine would go on for nobody, and each would cost a place until its deadline.
    """

    async def check(fleet, callers):
        (target,) = list_engines(fleet)
        agent = fleet.agents["agent-lm-0"]
        # With nothing to write, no failed write can tell that the caller has gone.
        place(target, "stall", path=GENERATE)
        streams = [callers.open_stream(f"leave {i}", 512) for i in range(3)]
        chats = [asyncio.ensure_future(callers.chat(f"go {i}", 512)) for i in range(3)]
        await fleet.wait_for(lambda: agent.admission.count_online() == 6)
        assert len(target.running) + len(target.waiting) <= 4
        for stream in streams:
            stream.abort()
        for chat in chats:
            chat.cancel()
        entry = fleet.entries["entry-0"]
        await fleet.wait_for(
            lambda: (
                not target.running
                and not agent.admission.count_online()
                and not agent.running
                and not entry.limits.running
            ),
            timeout_s=5.0,
        )
        place(target, "clear")
        assert (await callers.chat("next")).whole

    small = {"target": {"max_online": 4, "max_batch": 2}}
    run(check, engines=1, agent_settings={**small, "idle_s": 60.0})


def test_agents_start_before_their_engines_and_come_back():
    """An agent starts while its engine is down; later it restarts at once elsewhere.

    Requests go where work is possible, and come back when the engine answers.
    """

    async def check(fleet, callers):
        for each in list_engines(fleet):
            place(each, "down")
        await fleet.crash("agent-lm-0")
        await fleet.add_agent("agent-lm-0", "lm-0", "engine", embedded.MODEL)
        refused = await callers.chat("x")
        assert refused.verdict == "not_run"
        for each in list_engines(fleet):
            place(each, "clear")

        async def is_answered():
            return (await callers.chat("y")).whole

        await fleet.wait_for(is_answered)

    run(check)


def test_callers_get_an_error_they_can_read():
    """Requests that are malformed, too large, or for nothing that exists."""

    async def check(fleet, callers):
        cases = [
            ("GET", "/nothing", None, 404),
            ("GET", "/v1/chat/completions", None, 405),
            ("POST", "/v1/chat/completions", b"{", 400),
            ("POST", "/v1/chat/completions", b"[]", 400),
            ("POST", "/v1/chat/completions", b"x" * 2_000_000, 413),
        ]
        for method, path, body, status in cases:
            answer = await fleet.fetch(method, path, body)
            assert answer.status == status
            assert answer.decode()["error"]["verdict"] == "not_run"
        echoed = await fleet.fetch("GET", "/v1/services/desk/a%20b%0D%0Ac?q=%20")
        assert echoed.decode()["path"] == "/a%20b%0D%0Ac"

    run(check, entry_settings={"max_body_bytes": 1_000_000})


def test_caller_that_reads_nothing_is_let_go_at_its_deadline():
    """A caller's connection falls silent for good while its answer is written.

    The entry would wait for the connection to take the rest, for ever, and each such
    caller would keep one of the places of its workspace.
    """

    async def generate(request):
        while True:
            yield external_engine.Tokens(0, ["x" * 1_000_000])

    async def check(fleet, callers):
        entry = fleet.entries["entry-0"]
        entry.router.generate = generate
        body = {"model": embedded.MODEL, "prompt": "x", "stream": True}
        headers = {
            "Authorization": f"Bearer {fleet.tokens['a']}",
            "X-Deadline": str(time.time() + 1.0),
        }
        _, writer = await fake_callers.open_unread(
            entry.address, "/v1/completions", body, headers
        )
        await fleet.wait_for(lambda: entry.limits.running)
        await fleet.wait_for(lambda: not entry.limits.running, timeout_s=8.0)
        await fleet.wait_for(lambda: not entry._server.count_active_requests())
        writer.close()

    run(check, entries=1, engines=1)


def test_keyed_call_whose_caller_left_is_settled():
    """A caller hangs up while its call runs, and asks again by the same key.

    The call goes on, since it can't be undone; its answer has to be there for the
    one who asks again, who could otherwise never know.
    """

    async def check(fleet, callers):
        desk = fleet.targets["desk-0"]
        body = {"stand": 1, "hold_s": 0.3}
        first = asyncio.ensure_future(callers.confirm("k", body))
        await fleet.wait_for(lambda: desk.keys["k"])
        first.cancel()

        async def is_answered():
            return (await callers.confirm("k", body, entry="entry-1")).whole

        await fleet.wait_for(is_answered)
        assert desk.keys["k"] == 1

    run(check)


def test_idempotent_call_whose_caller_left_frees_its_place():
    """Callers of a slow service hang up while it works on what may be repeated."""

    async def check(fleet, callers):
        agent = fleet.agents["agent-desk-0"]
        headers = {"X-Idempotent": "true"}
        body = {"hold_s": 60.0}
        calls = [
            asyncio.ensure_future(callers.confirm(None, body, headers))
            for _ in range(4)
        ]
        await fleet.wait_for(lambda: agent.admission.count_online() == 4)
        for call in calls:
            call.cancel()
        await fleet.wait_for(lambda: not agent.admission.count_online(), timeout_s=3.0)

    run(check)


def test_claim_that_lands_late_does_not_block_its_key():
    """An append is given up for lost, and the log takes it long afterwards.

    The request was refused as not run, and its claim would now answer "in progress"
    to everybody who asks by that key.
    """

    async def check(fleet, callers):
        entry = fleet.entries["entry-0"]
        call_id = record.make_call_id("a", embedded.SERVICE, "k")
        shard = entry.table.find(call_id)
        place(fleet.log, "down")
        refused = await callers.confirm("k")
        assert refused.verdict == "not_run"
        place(fleet.log, "clear")
        claim = record.make_call_claimed(call_id, refused.request_id, "x", "d", 0.0)
        await shard.replica.append([claim], 5.0)
        outcome = await resend_until_final(fleet, callers, "k")
        assert outcome.whole

    run(check, entry_settings={"append_s": 0.5})
