"""Routing of online requests to targets, with retries at other targets."""

import asyncio
import contextlib
import dataclasses
import functools
import time

import orjson

from pimentowick import exception, fingerprint, verdict
from pimentowick.external import engine as external_engine
from pimentowick.routing import attempt as routing_attempt
from pimentowick.routing import crash_guard, quarantine, retry
from pimentowick.routing import prefix as routing_prefix

__all__ = ["Request", "Router", "make_generate_request"]

ONLINE_PRIORITY = "online"
RETRY_BACKOFF_S = 0.02
# Covers the requests lost with several connections at once on an entry with low load.
MIN_RETRIES_PER_S = 10.0
NO_TARGET_RETRY_AFTER_S = 1.0
# Refusal codes that indicate a fault of the agent or its target.
TARGET_LOST = "target_lost"
AGENT_FAULT_CODES = frozenset(["agent_lost", "agent_silent", TARGET_LOST, "internal"])


@dataclasses.dataclass
class Request:
    """State of an online request while it is being routed.

    Attributes:
        id: Id of the request.
        workspace: `pimentowick.configuration.workspace.Workspace`.
        service: Name of the model or service.
        kind: ``engine`` or ``service``.
        idempotent: Whether the request may run twice.
        deadline: Monotonic time by which the response has to be complete, in seconds.
        cost: Expected number of tokens.
        payload: Message to the agent without its envelope.
        prefix: Hashes of the prompt's prefixes, the shortest first.
        verdicts: Verdicts of the failed attempts.
        excluded: Names of the peers that refused the request or failed.
        attempts: Number of attempts started.
        is_trial: Whether it is quarantined and runs as a trial.
        has_begun: Whether the caller has received tokens.
        software_version: Version of the target of the latest attempt, or None if it is
            not stated. Once tokens were received, no other one may go on.
    """

    id: str
    workspace: object
    service: str
    kind: str
    idempotent: bool
    deadline: float
    cost: float
    payload: dict
    prefix: tuple = ()
    verdicts: list = dataclasses.field(default_factory=list)
    excluded: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    is_trial: bool = False
    has_begun: bool = False
    software_version: str | None = None

    @functools.cached_property
    def fingerprint(self):
        """Fingerprint of the request, the same for each attempt of its caller."""
        content = self.payload.get("call") or self.payload["generate"]
        # How far a run got and how its answer is identified differ between attempts.
        same = {
            name: value
            for name, value in content.items()
            if name not in ("resume_tokens", "idempotency_key")
        }
        return fingerprint.compute_fingerprint(
            self.workspace.name,
            self.service,
            self.kind,
            "",
            orjson.dumps(same, option=orjson.OPT_SORT_KEYS),
        )


class Router:
    """Sends requests to targets within deadlines, and retries within a budget.

    Args:
        fleet: `pimentowick.membership.fleet.Fleet`.
        balancer: `pimentowick.routing.balance.Balancer`.
        client: `pimentowick.client.Client` for online requests.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process.
        metrics: `pimentowick.metrics.EntryMetrics`.
        guard: `pimentowick.routing.crash_guard.CrashGuard`.
    """

    def __init__(self, fleet, balancer, client, settings, owner, metrics, guard):
        self.guard = guard
        self._crashes = crash_guard.CrashIdentifier()
        self._fleet = fleet
        self._balancer = balancer
        self._client = client
        self._settings = settings
        self._owner = owner
        self._metrics = metrics
        self._budget = retry.RetryBudget(
            settings.retry_share, min_per_s=MIN_RETRIES_PER_S
        )

    async def generate(self, request):
        """Yield `Tokens` and a final `End` for a generation.

        An interrupted generation is resumed at another target of the same software
        version after the tokens that were already yielded.

        Raises:
            RefusedError: All attempts failed, or the deadline expired.
        """
        produced = 0
        # Closed explicitly, since the target would otherwise keep generating for a
        # disconnected caller until garbage collection.
        async with contextlib.aclosing(self._send_with_retries(request)) as answer:
            async for frames in answer:
                for frame in frames:
                    if "texts" in frame and frame["index"] == produced:
                        produced += len(frame["texts"])
                        request.has_begun = True
                        request.payload["generate"]["resume_tokens"] = produced
                        yield external_engine.Tokens(frame["index"], frame["texts"])
                    elif frame.get("end"):
                        yield external_engine.End(
                            frame["finish_reason"], frame["tokens"]
                        )

    async def call(self, request):
        """Return the frame with the response of a service that is not an engine.

        Raises:
            RefusedError: All attempts failed, or the deadline expired.
        """
        end = None
        # Read to the end, since the peer's success is recorded only then.
        async with contextlib.aclosing(self._send_with_retries(request)) as answer:
            async for frames in answer:
                end = frames[-1]
        return end

    async def _send_with_retries(self, request):
        self._budget.record_request()
        while True:
            self._check_deadline(request)
            await self._check_quarantine(request)
            peer = self._choose_peer(request)
            try:
                async with contextlib.aclosing(
                    self._send_once(request, peer)
                ) as answer:
                    async for frames in answer:
                        yield frames
                self.guard.record_survival(request.fingerprint)
                return
            except exception.RefusedError as error:
                self._record_refusal(request, peer, error.refusal)
                if not self._may_retry(request, error.refusal):
                    raise exception.RefusedError(
                        _merge_verdicts(request, error.refusal)
                    ) from error
                self._metrics.count_retry(error.refusal.code)
            await asyncio.sleep(RETRY_BACKOFF_S * request.attempts)

    async def _send_once(self, request, peer):
        request.attempts += 1
        envelope = routing_attempt.make_envelope(
            request.id,
            request.attempts,
            self._owner,
            request.workspace.name,
            ONLINE_PRIORITY,
            request.deadline - time.monotonic(),
            weight=request.workspace.weight,
            cost=request.cost,
        )
        peer.online += 1
        try:
            frame_stream = routing_attempt.read_frames(
                self._client,
                peer,
                {"envelope": envelope, **request.payload},
                self._settings.idle_s,
                # A pooled connection may be stale. Requests that cannot be retried,
                # and retries themselves, use a new one.
                new_connection=request.attempts > 1 or not request.idempotent,
            )
            async with contextlib.aclosing(frame_stream) as answer:
                async for frames in answer:
                    yield frames
        finally:
            peer.online -= 1
        self._fleet.record_success(peer)

    def _check_deadline(self, request):
        if time.monotonic() >= request.deadline:
            combined = verdict.combine(request.verdicts)
            raise exception.RefusedError(verdict.make_deadline_refusal(combined))

    async def _check_quarantine(self, request):
        """Wait for a trial of a quarantined request, or start it.

        Raises:
            RefusedError: The request must not run now.
        """
        if request.is_trial or self.guard.policy.is_empty():
            return
        step = await self.guard.wait_for_trial([request.fingerprint])
        if step == quarantine.Step.TRIAL:
            trials = await self.guard.start_trial([request.fingerprint], request.id)
            request.is_trial = bool(trials)
        if step == quarantine.Step.RUN or request.is_trial:
            return
        delay_s = self.guard.get_delay([request.fingerprint])
        refusal = verdict.Refusal(
            503,
            "quarantined",
            "Targets crashed under this request, so that it runs again only after the "
            "time in Retry-After.",
            retry_after=max(delay_s, NO_TARGET_RETRY_AFTER_S),
        )
        raise exception.RefusedError(_merge_verdicts(request, refusal))

    def _choose_peer(self, request):
        pool = self._fleet.get_pool(request.service, request.kind)
        unfit = set()
        if request.has_begun:
            needed = request.software_version
            unfit = {p.name for p in pool.members if p.software_version != needed}
        # A target that failed is better than one of another version.
        for excluded in (request.excluded | unfit, unfit):
            peer = self._balancer.choose(pool, request.prefix, excluded)
            if peer is not None and peer.name not in unfit:
                request.software_version = peer.software_version
                return peer
        raise exception.RefusedError(
            _merge_verdicts(
                request,
                verdict.Refusal(
                    503,
                    "no_target",
                    f"No target of {request.service} takes work now. Try later.",
                    retry_after=NO_TARGET_RETRY_AFTER_S,
                ),
            )
        )

    def _record_refusal(self, request, peer, refusal):
        request.verdicts.append(refusal.verdict)
        request.excluded.add(peer.name)
        if refusal.code == TARGET_LOST:
            self._crashes.retain(self._fleet.peers)
            crash = self._crashes.identify(peer.name, time.monotonic())
            self.guard.record_crash(request.fingerprint, crash)
        if refusal.code in AGENT_FAULT_CODES:
            self._fleet.record_failure(peer)
        elif refusal.code == "draining":
            self._fleet.record_draining(peer)

    def _may_retry(self, request, refusal):
        if request.attempts >= self._settings.max_attempts:
            return False
        if request.is_trial and refusal.verdict is not verdict.Verdict.NOT_RUN:
            return False
        if time.monotonic() + RETRY_BACKOFF_S >= request.deadline:
            return False
        if not retry.is_retryable(refusal, request.idempotent):
            return False
        # A draining agent has not run the request, so sending it elsewhere adds no load
        # and is not charged to the retry budget.
        return refusal.code == "draining" or self._budget.take()


def _merge_verdicts(request, refusal):
    """Return `refusal` with the combined verdict of all attempts."""
    combined = verdict.combine([*request.verdicts, refusal.verdict])
    return dataclasses.replace(refusal, verdict=combined)


def make_generate_request(request_id, workspace, generation, deadline_s):
    """Return the `Request` for a generation.

    Args:
        request_id: Id of the request.
        workspace: `pimentowick.configuration.workspace.Workspace` of the caller.
        generation: Dictionary with model, adapter, prompt and max_tokens.
        deadline_s: Seconds until the response has to be complete.
    """
    return Request(
        id=request_id,
        workspace=workspace,
        service=generation["model"],
        kind="engine",
        idempotent=True,
        deadline=time.monotonic() + deadline_s,
        cost=generation["max_tokens"],
        prefix=_hash_prefix(generation),
        payload={"generate": dict(generation)},
    )


def _hash_prefix(generation):
    # Cached prefixes are specific to a model and an adapter.
    seed = f"{generation['model']}/{generation.get('adapter') or ''}"
    return routing_prefix.hash_prefixes(generation["prompt"], seed)
