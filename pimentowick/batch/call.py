"""Idempotency-key calls: claims them in the log so that they run at most once.

A caller that lost the answer may retry through another entry, which does not know of
the first request. Both entries see the claim in the log. Only the request whose claim
is in force may be sent to a target, and a claim is released only if nothing can have
run.
"""

import asyncio
import collections
import time

from loguru import logger

from pimentowick import exception, supervisor, verdict
from pimentowick.batch import record as batch_record

__all__ = ["CallRegistry"]

MAX_STORED_ANSWER_BYTES = 100_000
APPEND_RETRY_S = 0.5
MAX_PENDING_OUTCOMES = 10_000
LATE_CLAIM_CHECK_S = 1.0
LATE_CLAIM_WINDOW_S = 120.0
IN_PROGRESS_RETRY_AFTER_S = 1.0


class CallRegistry:
    """Claims calls with an idempotency key and records their outcomes.

    Args:
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process.
    """

    def __init__(self, settings, owner):
        self._settings = settings
        self._owner = owner
        self._pending_outcomes = collections.deque()
        self._abandoned_claims = {}
        self._added = asyncio.Event()
        self._supervisor = supervisor.Supervisor("calls")

    async def start(self):
        """Start recording outcomes."""
        await self._supervisor.start()
        self._supervisor.start_child("append", self._append_loop)
        self._supervisor.start_child("late claims", self._close_late_claims)

    async def close(self):
        """Stop; for outcomes not yet recorded, retries are told they are unknown."""
        await self._supervisor.close()

    async def drain(self, timeout_s):
        """Wait up to `timeout_s` seconds until all outcomes are recorded."""
        deadline = time.monotonic() + timeout_s
        while self._pending_outcomes and time.monotonic() < deadline:
            await asyncio.sleep(APPEND_RETRY_S / 10)

    async def claim(self, shard, call_id, request_id, digest, timeout_s):
        """Claim the right to run a call.

        Args:
            shard: `pimentowick.batch.shard.Shard` of the call.
            call_id: Id derived from workspace, service and key.
            request_id: Id of the request that claims the call.
            digest: Hash of the request's content.
            timeout_s: Remaining time of the request, in seconds.

        Returns:
            None if the request may run; otherwise the stored answer of an earlier one.

        Raises:
            RefusedError: The request must not run, or whether it may is unknown; the
                refusal states what is known of the earlier request.
        """
        known = shard.ledger.calls.get(call_id)
        if known is not None and known.verdict != "not_run":
            return _resolve_earlier_call(known, digest)
        claim = batch_record.make_call_claimed(
            call_id, request_id, self._owner, digest, time.time()
        )
        try:
            # A claim that takes effect after the request's deadline is useless.
            append_timeout_s = min(self._settings.append_s, timeout_s)
            await shard.replica.append([claim], append_timeout_s)
        except exception.LogThrottledError as error:
            raise _make_unclaimed_error(str(error)) from error
        except exception.LogUnavailableError as error:
            # The claim may be in the log or still reach it. It would then block all
            # later requests with this key, so it is released.
            self._abandon_claim(shard, call_id, request_id)
            raise _make_unclaimed_error(str(error)) from error
        call = shard.ledger.calls[call_id]
        if call.request == request_id:
            return None
        return _resolve_earlier_call(call, digest)

    def _abandon_claim(self, shard, call_id, request_id):
        self.record_outcome(shard, call_id, request_id, verdict.Verdict.NOT_RUN, None)
        if len(self._abandoned_claims) >= MAX_PENDING_OUTCOMES:
            self._abandoned_claims.pop(next(iter(self._abandoned_claims)))
        self._abandoned_claims[request_id] = (shard, call_id, time.monotonic())

    async def _close_late_claims(self):
        """Release abandoned claims that reached the log after their release.

        An append whose answer was lost may land late. Its release came first and had
        no effect, so the key would be reported as in progress forever.
        """
        while True:
            await asyncio.sleep(LATE_CLAIM_CHECK_S)
            for request_id, entry in list(self._abandoned_claims.items()):
                shard, call_id, since = entry
                call = shard.ledger.calls.get(call_id)
                if call and call.request == request_id and call.verdict is None:
                    self.record_outcome(
                        shard, call_id, request_id, verdict.Verdict.NOT_RUN, None
                    )
                if time.monotonic() - since > LATE_CLAIM_WINDOW_S:
                    del self._abandoned_claims[request_id]

    def record_outcome(self, shard, call_id, request_id, call_verdict, answer):
        """Queue the outcome of a claimed call for appending to the log.

        Args:
            shard: `pimentowick.batch.shard.Shard` of the call.
            call_id: Id of the call.
            request_id: Id of the request that held the claim.
            call_verdict: `pimentowick.verdict.Verdict` of the call.
            answer: Dictionary with the answer, or None.
        """
        if answer is not None and len(answer["body"]) > MAX_STORED_ANSWER_BYTES:
            answer = None
        ended = batch_record.make_call_ended(
            call_id, request_id, str(call_verdict), answer
        )
        self._pending_outcomes.append((shard, ended))
        if len(self._pending_outcomes) > MAX_PENDING_OUTCOMES:
            self._pending_outcomes.popleft()
        self._added.set()

    async def _append_loop(self):
        while True:
            await self._added.wait()
            self._added.clear()
            while self._pending_outcomes:
                await self._append_next_group()

    async def _append_next_group(self):
        shard = self._pending_outcomes[0][0]
        group = [entry for entry in self._pending_outcomes if entry[0] is shard]
        try:
            await shard.replica.log.append(shard.stream, [ended for _, ended in group])
        except exception.LogError as error:
            logger.warning(
                "calls: {} outcomes not yet appended to {}: {}",
                len(group),
                shard.stream,
                error,
            )
            await asyncio.sleep(APPEND_RETRY_S)
            return
        for entry in group:
            self._pending_outcomes.remove(entry)


def _resolve_earlier_call(call, digest):
    if call.digest != digest:
        raise exception.RefusedError(
            verdict.Refusal(
                409,
                "key_conflict",
                "Another request used this Idempotency-Key. Take a new key.",
            )
        )
    if call.answer is not None:
        return call.answer
    if call.verdict == "ran":
        raise exception.RefusedError(
            verdict.Refusal(
                409,
                "already_ran",
                "The call ran; its answer is not kept. Don't send it again.",
                verdict.Verdict.RAN,
            )
        )
    raise exception.RefusedError(
        verdict.Refusal(
            409,
            "in_progress",
            "A request under this key runs, or its outcome is unknown. Ask later.",
            verdict.Verdict.MAY_HAVE_RUN,
            IN_PROGRESS_RETRY_AFTER_S,
        )
    )


def _make_unclaimed_error(reason):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "log_unavailable",
            "This request did not run: it can't be protected from running twice now."
            f" One sent before under its key may have run. {reason}",
            retry_after=1.0,
        )
    )
