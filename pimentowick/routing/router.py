"""Takes an online request to a target, and to another one where that is right."""

import asyncio
import contextlib
import dataclasses
import time

from pimentowick import exception, verdict
from pimentowick.external import engine as external_engine
from pimentowick.routing import attempt as routing_attempt
from pimentowick.routing import prefix as routing_prefix
from pimentowick.routing import retry

__all__ = ["Request", "Router", "make_generate_request"]

ONLINE = "online"
RETRY_PAUSE_S = 0.02
# An entry with few requests may lose those of a dozen connections at once.
LEAST_RETRIES_PER_S = 10.0
NO_TARGET_RETRY_AFTER_S = 1.0
# Codes of refusals that blame the agent or its target, not the request or the load.
LOST_CODES = frozenset(["agent_lost", "agent_silent", "target_lost", "internal"])


@dataclasses.dataclass(slots=True)
class Request:
    """One online request on its way.

    Attributes:
        id: Id of the request.
        workspace: `pimentowick.configuration.workspace.Workspace`.
        service: Name of the model or service.
        kind: ``engine`` or ``service``.
        idempotent: Whether it may run twice.
        deadline: Monotonic time by which the answer has to be whole.
        cost: Expected tokens.
        prefix: Hashes of the prompt's prefixes, the shortest first.
        payload: The part of the message that says what to do.
        verdicts: Verdicts of the attempts that failed.
        excluded: Names of the peers that failed.
        attempts: Number of attempts begun.
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


class Router:
    """Chooses targets, keeps to deadlines and budgets, and retries.

    Args:
        fleet: `pimentowick.membership.fleet.Fleet`.
        balancer: `pimentowick.routing.balance.Balancer`.
        client: `pimentowick.client.Client` for online requests.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process.
        metrics: `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, fleet, balancer, client, settings, owner, metrics):
        self._fleet = fleet
        self._balancer = balancer
        self._client = client
        self._settings = settings
        self._owner = owner
        self._metrics = metrics
        self._budget = retry.RetryBudget(
            settings.retry_share, min_per_s=LEAST_RETRIES_PER_S
        )

    async def generate(self, request):
        """Yield `Tokens` and at last one `End` for a generation.

        An answer that broke off in the middle goes on at another target, from the
        tokens that the caller has.

        Raises:
            RefusedError: The request got no whole answer.
        """
        produced = 0
        # Closed here and not by the garbage collector: until then the target would
        # go on for a caller that has left.
        async with contextlib.aclosing(self._try_all(request)) as answer:
            async for frames in answer:
                for each in frames:
                    if "texts" in each and each["index"] == produced:
                        produced += len(each["texts"])
                        request.payload["generate"]["resume_tokens"] = produced
                        yield external_engine.Tokens(each["index"], each["texts"])
                    elif each.get("end"):
                        yield external_engine.End(each["finish_reason"], each["tokens"])

    async def call(self, request):
        """Return the frame with the answer of a plain service.

        Raises:
            RefusedError: The call got no whole answer.
        """
        end = None
        # Read to its end, since only then the success of the peer is noted.
        async with contextlib.aclosing(self._try_all(request)) as answer:
            async for frames in answer:
                end = frames[-1]
        return end

    async def _try_all(self, request):
        self._budget.record_request()
        while True:
            self._check_deadline(request)
            peer = self._choose(request)
            try:
                async with contextlib.aclosing(self._try_one(request, peer)) as answer:
                    async for frames in answer:
                        yield frames
                return
            except exception.RefusedError as error:
                self._note_refusal(request, peer, error.refusal)
                if not self._may_retry(request, error.refusal):
                    raise exception.RefusedError(
                        _conclude(request, error.refusal)
                    ) from error
                self._metrics.count_retry(error.refusal.code)
            await asyncio.sleep(RETRY_PAUSE_S * request.attempts)

    async def _try_one(self, request, peer):
        request.attempts += 1
        envelope = routing_attempt.make_envelope(
            request.id,
            request.attempts,
            self._owner,
            request.workspace.name,
            ONLINE,
            request.deadline - time.monotonic(),
            weight=request.workspace.weight,
            cost=request.cost,
        )
        peer.online += 1
        try:
            frames_of_peer = routing_attempt.read_frames(
                self._client,
                peer,
                {"envelope": envelope, **request.payload},
                self._settings.idle_s,
                # A call that can't be repeated must not be lost to a pooled
                # connection that died unnoticed; after a failure, neither may any
                # request.
                fresh=request.attempts > 1 or not request.idempotent,
            )
            async with contextlib.aclosing(frames_of_peer) as answer:
                async for frames in answer:
                    yield frames
        finally:
            peer.online -= 1
        self._fleet.record_success(peer)

    def _check_deadline(self, request):
        if time.monotonic() >= request.deadline:
            found = verdict.combine(request.verdicts)
            raise exception.RefusedError(verdict.make_expired(found))

    def _choose(self, request):
        pool = self._fleet.get_pool(request.service, request.kind)
        peer = self._balancer.choose(pool, request.prefix, request.excluded)
        if peer is not None:
            return peer
        raise exception.RefusedError(
            _conclude(
                request,
                verdict.Refusal(
                    503,
                    "no_target",
                    f"No target of {request.service} takes work now. Try later.",
                    retry_after=NO_TARGET_RETRY_AFTER_S,
                ),
            )
        )

    def _note_refusal(self, request, peer, refusal):
        request.verdicts.append(refusal.verdict)
        request.excluded.add(peer.name)
        if refusal.code in LOST_CODES:
            self._fleet.record_failure(peer)
        elif refusal.code == "draining":
            self._fleet.record_draining(peer)

    def _may_retry(self, request, refusal):
        if request.attempts >= self._settings.max_attempts:
            return False
        if time.monotonic() + RETRY_PAUSE_S >= request.deadline:
            return False
        if not retry.is_retryable(refusal, request.idempotent):
            return False
        # An agent that drains refuses by its own word and ran nothing: sending its
        # requests elsewhere adds no load, so it costs no budget.
        return refusal.code == "draining" or self._budget.take()


def _conclude(request, refusal):
    """Return the last refusal with the verdict on all attempts."""
    found = verdict.combine([*request.verdicts, refusal.verdict])
    return dataclasses.replace(refusal, verdict=found)


def make_generate_request(request_id, workspace, generation, deadline_s):
    """Return the `Request` for a generation.

    Args:
        request_id: Id of the request.
        workspace: The caller's workspace.
        generation: Dictionary with model, adapter, prompt and max_tokens.
        deadline_s: Seconds until the answer has to be whole.
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
    # The cache of one model or adapter is of no use to another.
    seed = f"{generation['model']}/{generation.get('adapter') or ''}"
    return routing_prefix.hash_prefixes(generation["prompt"], seed)
