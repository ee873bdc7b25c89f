"""Calls that must not run twice, claimed in the log before they run.

A caller that lost its answer asks again, perhaps through another entry, which knows
nothing of the first one. The claim in the log is what both see: only the request
whose claim is in force may go to a target, and a claim is given up only when it is
proven that nothing ran.
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
    """Claims keyed calls and records how they ended.

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
        """Begin to record ends."""
        await self._supervisor.start()
        self._supervisor.start_child("settle", self._append_loop)
        self._supervisor.start_child("late", self._close_late_claims)

    async def close(self):
        """Stop; ends that are not recorded stay unknown to whoever asks again."""
        await self._supervisor.close()

    async def drain(self, timeout_s):
        """Wait until all ends are recorded, at most `timeout_s` seconds."""
        deadline = time.monotonic() + timeout_s
        while self._pending_outcomes and time.monotonic() < deadline:
            await asyncio.sleep(APPEND_RETRY_S / 10)

    async def claim(self, shard, call_id, request_id, digest, timeout_s):
        """Claim a call for a request.

        Args:
            shard: `pimentowick.batch.shard.Shard` of the call.
            call_id: Id derived from workspace, service and key.
            request_id: Id of the request that wants to run.
            digest: Hash of the content.
            timeout_s: Seconds that are left to the request.

        Returns:
            None if the request may run; otherwise the answer of the one that ran.

        Raises:
            RefusedError: The request must not run, or it is not known whether it
                may; the refusal says what is known of the one before.
        """
        known = shard.ledger.calls.get(call_id)
        if known is not None and known.verdict != "not_run":
            return _resolve_earlier_call(known, digest)
        claim = batch_record.make_call_claimed(
            call_id, request_id, self._owner, digest, time.time()
        )
        try:
            # A claim that is in force after the caller's deadline serves nobody.
            bound = min(self._settings.append_s, timeout_s)
            await shard.replica.append([claim], bound)
        except exception.LogFullError as error:
            raise _make_unclaimed_error(str(error)) from error
        except exception.LogUnavailableError as error:
            # The claim may be in the log, or come there later, and would then stand
            # in the way of every later request under this key: give it up.
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
        """End claims again that came into the log after their end.

        An append whose answer was lost may land late; its end, which came first, was
        void, and the key would answer "in progress" to everybody for good.
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
        """Record how a claimed call ended, as soon as the log takes it.

        Args:
            shard: `pimentowick.batch.shard.Shard` of the call.
            call_id: Id of the call.
            request_id: Request that held the claim.
            call_verdict: `pimentowick.verdict.Verdict`.
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
            logger.warning("calls: {} ends wait for the log. {}", len(group), error)
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
