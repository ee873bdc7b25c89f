"""Online requests under failures of targets, agents, entries and connections."""

import asyncio
import time

import pytest

from pimentowick.batch import record
from pimentowick.external import engine as external_engine
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded, engine, faults, relay
from pimentowick.routing import quarantine

run = fake_callers.run_with_callers
GENERATE = "/generate"
CRASH_WORD = "crash"


def inject(target, kind, **fields):
    target.fault_injector.inject(faults.Fault(kind, **fields))


def list_engines(fleet):
    return [fleet.targets[name] for name in sorted(fleet.targets) if name[:2] == "lm"]


def inject_fault_once(fleet, kind):
    """Return a callback that injects a fault after the first text of a stream."""
    done = []

    def on_text(outcome):
        if outcome.text and not done:
            done.append(True)
            for each in list_engines(fleet):
                if each.running:
                    inject(each, kind, count=1, path=GENERATE)

    return on_text


class FaultyEngine(engine.Engine):
    """Repeats every token and mixes in tokens of other requests and attempts."""

    def _emit(self, stream):
        wrong_step = {"index": stream.index, "text": " wrong"}
        for request_id, attempt in [("other", 1), (stream.request_id, 0)]:
            other = engine._Stream(request_id, attempt, "", 1, 0, stream.sink)
            stream.sink.send(
                other.make_line(**wrong_step) + other.make_end_line("stop"), False
            )
        if stream.index:
            stream.index -= 1
            stream.sink.send(stream.make_token_line(), False)
        super()._emit(stream)


def test_each_caller_gets_its_own_response():
    """Engines send lines of other requests and attempts, and repeat lines. Each caller
    must receive exactly its own text.
    """

    async def check(fleet, callers):
        for index in range(2):
            target = FaultyEngine(models=[embedded.MODEL], base_step_ms=2)
            name = f"lm-muddled-{index}"
            await fleet.add_target(name, "engine", embedded.MODEL, target)
        await fleet.wait_for(fleet.is_ready)
        calls = [
            ask(f"question {number}", 12, entry=f"entry-{number % 2}")
            for number in range(40)
            for ask in (callers.chat, callers.stream)
        ]
        outcomes = await asyncio.gather(*calls)
        assert all(outcome.complete for outcome in outcomes)

    run(check, engines=0)


@pytest.mark.parametrize("kind", ["cut", "stall"])
def test_broken_stream_resumes_at_another_engine(kind):
    """An engine disconnects or stalls in the middle of a stream. Another engine resumes
    it without lost or repeated tokens.
    """

    async def check(fleet, callers):
        on_text = inject_fault_once(fleet, kind)
        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.complete
        assert callers.count_runs(outcome.request_id) == 2

    run(check, agent_settings={"idle_s": 0.5})


@pytest.mark.parametrize("versions", [("v1", "v2", "v3"), ("v1", "v1", "v2", "v2")])
def test_broken_stream_resumes_only_at_its_software_version(versions):
    """An engine disconnects in the middle of a stream. Engines of other versions write
    what does not fit.
    """

    async def check(fleet, callers):
        for index, version in enumerate(versions):
            target = engine.Engine(models=[embedded.MODEL], base_step_ms=2)
            name = f"lm-{version}-{index}"
            await fleet.add_target(
                name, "engine", embedded.MODEL, target, software_version=version
            )
        await fleet.wait_for(fleet.is_ready)
        on_text = inject_fault_once(fleet, "cut")
        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.complete
        assert callers.count_runs(outcome.request_id) == 2
        ran = {
            name.split("-")[1]
            for name, target in fleet.targets.items()
            if target.runs[outcome.request_id]
        }
        assert len(ran) == 1

    run(check, engines=0)


def test_stream_resumes_after_its_agent_crashed():
    """An agent crashes while it relays a stream."""

    async def check(fleet, callers):
        crashes = []

        def on_text(outcome):
            if outcome.text and not crashes:
                busy = [n for n in fleet.agents if fleet.agents[n].running]
                crashes.append(asyncio.ensure_future(fleet.crash(busy[0])))

        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.complete and crashes

    run(check)


class CrashingEngine(engine.Engine):
    """Breaks off all its requests when it is to run one with `CRASH_WORD`."""

    crashes = 0

    def submit(self, stream):
        super().submit(stream)
        if CRASH_WORD in stream.prompt:
            self.crashes += 1
            for connection in list(self.fault_injector.connections):
                connection.close()


async def add_crashing_engines(fleet, count):
    engines = []
    for index in range(count):
        engines.append(CrashingEngine(models=[embedded.MODEL], base_step_ms=2))
        name = f"lm-crashing-{index}"
        await fleet.add_target(name, "engine", embedded.MODEL, engines[-1])
    await fleet.wait_for(fleet.is_ready)
    return engines


def test_request_that_crashes_engines_is_not_sent_without_end(monkeypatch):
    """Its caller sends it again with new ids to any entry."""
    monkeypatch.setattr(quarantine, "TRIAL_DELAYS_S", (600.0,))

    async def check(fleet, callers):
        engines = await add_crashing_engines(fleet, 3)
        for number in range(12):
            outcome = await callers.chat(CRASH_WORD, entry=f"entry-{number % 2}")
        # Three for each of the two entries.
        assert sum(each.crashes for each in engines) <= 6
        assert outcome.status == 503
        assert outcome.verdict == "not_run"
        assert (await callers.chat("another request")).complete

    run(check, engines=0)


def test_request_that_was_present_at_crashes_is_served():
    """Engines crash under it for another reason; it must run as soon as it returns."""

    async def check(fleet, callers):
        engines = await add_crashing_engines(fleet, 3)
        for each in engines:
            inject(each, "cut", count=1, path=GENERATE)
        await callers.chat("popular")
        for each in engines:
            inject(each, "clear")
        guard = fleet.entries["entry-0"].router.guard
        assert guard.policy.count_suspects() == (1, 1, 0)
        outcomes = await asyncio.gather(*(callers.chat("popular") for _ in range(6)))
        assert all(outcome.complete for outcome in outcomes)

    run(check, engines=0, entry_settings={"max_attempts": 2})


def test_stream_that_cannot_resume_ends_with_an_error():
    """All engines disconnect in the middle of streams. Streams must end with an error
    event and without the end mark, which would make them look complete.
    """

    async def check(fleet, callers):
        def on_text(outcome):
            for each in list_engines(fleet):
                if not each.fault_injector.active_faults:
                    inject(each, "cut", path=GENERATE)

        outcome = await callers.stream("break", 60, on_text=on_text)
        assert outcome.text and not outcome.complete
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
def test_refusal_has_the_right_verdict(kind, verdict):
    """All targets fail before or after they start a request. The verdict must be right,
    since callers retry a request that was not run.
    """

    async def check(fleet, callers):
        for target in fleet.targets.values():
            if kind == "closed":
                await target.close()
            else:
                inject(target, kind)
        outcomes = [await callers.chat("x"), await callers.stream("y")]
        if kind != "down":
            # A 503 sent by a service itself is forwarded unchanged.
            outcomes += [await callers.confirm(), await callers.confirm("k")]
        for outcome in outcomes:
            assert outcome.verdict == verdict, outcome
            assert outcome.error["retry_after"]

    run(check)


async def resend_until_final(fleet, callers, key):
    """Retry a call with an idempotency key via all entries until it has an outcome."""
    for number in range(200):
        names = sorted(fleet.entries)
        outcome = await callers.confirm(key, entry=names[number % len(names)])
        if outcome.complete or outcome.verdict == "ran":
            return outcome
        if outcome.verdict == "may_have_run" and fleet.targets["desk-0"].keys[key]:
            # The call ran and its response is lost, so the outcome stays unknown.
            return outcome
        await asyncio.sleep(0.02)
    raise AssertionError("The call has no outcome after all retries.")


@pytest.mark.parametrize("fault", ["lose_answer", "cut", "agent", "entry", "log"])
def test_keyed_call_runs_at_most_once(fault):
    """A call with an idempotency key is retried via other entries while the service,
    the agent, the claiming entry or the log fails. It must run at most once.
    """

    async def check(fleet, callers):
        desk = fleet.targets["desk-0"]
        body = {"stand": 1, "hold_s": 0.2}
        first = asyncio.ensure_future(callers.confirm("k", body, entry="entry-1"))
        if fault in ("lose_answer", "cut"):
            inject(desk, fault, count=1)
        await fleet.wait_for(lambda: desk.keys["k"] or first.done())
        if fault == "agent":
            await fleet.crash("agent-desk-0")
            await fleet.add_agent("agent-desk-0", "desk-0", "service", embedded.SERVICE)
        elif fault == "entry":
            await fleet.crash("entry-1")
        elif fault == "log":
            inject(fleet.log, "down", count=30)
        again = asyncio.ensure_future(callers.confirm("k", body, entry="entry-0"))
        await asyncio.gather(first, again)
        await fleet.wait_for(fleet.is_ready) if fault != "entry" else None
        for name in list(fleet.entries) * 3:
            await callers.confirm("k", body, entry=name)
        assert desk.keys["k"] == 1

    run(check)


def test_keyed_call_succeeds_after_a_log_outage():
    """A call with an idempotency key is rejected as not run if the log is down, since
    it cannot be claimed. It succeeds once the log recovers.
    """

    async def check(fleet, callers):
        inject(fleet.log, "down")
        refused = await callers.confirm("k")
        assert refused.verdict == "not_run"
        inject(fleet.log, "clear")
        outcome = await resend_until_final(fleet, callers, "k")
        assert outcome.complete
        assert fleet.targets["desk-0"].keys["k"] == 1

    run(check, entry_settings={"append_s": 0.5})


@pytest.mark.parametrize("kind", ["lose_answer", "cut"])
def test_call_without_key_is_never_retried(kind):
    """The response to a call that is not idempotent is lost. The call must not be
    retried at the second service.
    """

    async def check(fleet, callers):
        for name in ("desk-0", "desk-1"):
            inject(fleet.targets[name], kind, path="/confirm")
        outcome = await callers.confirm()
        assert outcome.verdict == "may_have_run"
        assert callers.count_runs(outcome.request_id) == 1

    run(check, services=2)


@pytest.mark.parametrize("times", [1, 2])
def test_connections_to_agents_stall(times):
    """All open connections to agents stop transmitting without being closed, but new
    ones work. Requests must not hang, and calls that may not be repeated must succeed.
    """

    async def check(fleet, callers):
        async with relay.insert_relays(fleet, "agent") as relays:
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
                assert all(outcome.complete for outcome in outcomes)

    run(check, entry_settings={"idle_s": 0.5})


def test_connections_to_engines_and_log_stall():
    """Open connections to the targets and to the log stop transmitting together."""

    async def check(fleet, callers):
        await asyncio.gather(*(callers.chat(f"warm {i}") for i in range(8)))
        await callers.confirm("warm")
        for each in [*fleet.targets.values(), fleet.log]:
            inject(each, "freeze")
        outcomes = await asyncio.gather(*(callers.chat(f"after {i}") for i in range(8)))
        assert all(outcome.complete for outcome in outcomes)
        final = await resend_until_final(fleet, callers, "k")
        assert final.complete

    run(check, agent_settings={"idle_s": 0.5}, entry_settings={"append_s": 5.0})


def test_deadline_is_not_counted_as_target_failure():
    """Requests that exceed their own deadline get a 504 and do not count as failures of
    the target; otherwise one caller could get all targets ejected.
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


def test_disconnected_caller_frees_its_slots():
    """Callers disconnect while their requests run or wait. They must be cancelled
    at once, so that they hold no slots until their deadline.
    """

    async def check(fleet, callers):
        (target,) = list_engines(fleet)
        agent = fleet.agents["agent-lm-0"]
        # While the engine stalls, no failed write can reveal the disconnect.
        inject(target, "stall", path=GENERATE)
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
        inject(target, "clear")
        assert (await callers.chat("next")).complete

    small = {"target": {"max_online": 4, "max_batch": 2}}
    run(check, engines=1, agent_settings={**small, "idle_s": 60.0})


def test_agents_start_before_their_engines_and_recover():
    """An agent restarts while its engine is down. Requests are rejected as not run, and
    accepted again once the engines recover.
    """

    async def check(fleet, callers):
        for each in list_engines(fleet):
            inject(each, "down")
        await fleet.crash("agent-lm-0")
        await fleet.add_agent("agent-lm-0", "lm-0", "engine", embedded.MODEL)
        refused = await callers.chat("x")
        assert refused.verdict == "not_run"
        for each in list_engines(fleet):
            inject(each, "clear")

        async def is_answered():
            return (await callers.chat("y")).complete

        await fleet.wait_for(is_answered)

    run(check)


def test_callers_get_json_errors():
    """Malformed, oversized and unknown requests get a JSON error."""

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


def test_caller_that_stops_reading_is_disconnected_at_its_deadline():
    """A caller stops reading in the middle of a response. The entry must abort
    the write at the deadline and free the concurrency slot of the workspace.
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
        _, writer = await fake_callers.post_without_reading(
            entry.address, "/v1/completions", body, headers
        )
        await fleet.wait_for(lambda: entry.limits.running)
        await fleet.wait_for(lambda: not entry.limits.running, timeout_s=8.0)
        await fleet.wait_for(lambda: not entry._server.count_active_requests())
        writer.close()

    run(check, entries=1, engines=1)


def test_keyed_call_of_disconnected_caller_is_recorded():
    """A caller disconnects while its call with an idempotency key runs, then retries.
    The call continues, and the retry gets the recorded response.
    """

    async def check(fleet, callers):
        desk = fleet.targets["desk-0"]
        body = {"stand": 1, "hold_s": 0.3}
        first = asyncio.ensure_future(callers.confirm("k", body))
        await fleet.wait_for(lambda: desk.keys["k"])
        first.cancel()

        async def is_answered():
            return (await callers.confirm("k", body, entry="entry-1")).complete

        await fleet.wait_for(is_answered)
        assert desk.keys["k"] == 1

    run(check)


def test_idempotent_call_of_disconnected_caller_frees_its_slot():
    """Idempotent calls are cancelled when their callers disconnect."""

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


def test_late_claim_does_not_block_its_key():
    """The claim of a call that was rejected as not run is appended late. Retries with
    the same key must not be told that the call is in progress.
    """

    async def check(fleet, callers):
        entry = fleet.entries["entry-0"]
        call_id = record.make_call_id("a", embedded.SERVICE, "k")
        shard = entry.table.find(call_id)
        inject(fleet.log, "down")
        refused = await callers.confirm("k")
        assert refused.verdict == "not_run"
        inject(fleet.log, "clear")
        claim = record.make_call_claimed(call_id, refused.request_id, "x", "d", 0.0)
        await shard.replica.append([claim], 5.0)
        outcome = await resend_until_final(fleet, callers, "k")
        assert outcome.complete

    run(check, entry_settings={"append_s": 0.5})
