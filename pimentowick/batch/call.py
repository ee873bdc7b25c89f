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

__all__ = ["CallBook"]

MAX_KEPT_ANSWER = 100_000
SETTLE_PAUSE_S = 0.5
MAX_UNSETTLED = 10_000
LATE_CHECK_S = 1.0
LATE_S = 120.0
IN_PROGRESS_RETRY_AFTER_S = 1.0


class CallBook:
    """Claims keyed calls and records how they ended.

    Args:
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process.
    """

    def __init__(self, settings, owner):
        self._settings = settings
        self._owner = owner
        self._unsettled = collections.deque()
        self._given_up = {}
        self._added = asyncio.Event()
        self._supervisor = supervisor.Supervisor("calls")

    async def start(self):
        """Begin to record ends."""
        await self._supervisor.start()
        self._supervisor.start_child("settle", self._settle_always)
        self._supervisor.start_child("late", self._watch_given_up)

    async def close(self):
        """Stop; ends that are not recorded stay unknown to whoever asks again."""
        await self._supervisor.close()

    async def drain(self, timeout_s):
        """Wait until all ends are recorded, at most `timeout_s` seconds."""
        deadline = time.monotonic() + timeout_s
        while self._unsettled and time.monotonic() < deadline:
            await asyncio.sleep(SETTLE_PAUSE_S / 10)

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
            return _answer_known(known, digest)
        claim = batch_record.make_call_claimed(
            call_id, request_id, self._owner, digest, time.time()
        )
        try:
            # A claim that is in force after the caller's deadline serves nobody.
            bound = min(self._settings.append_s, timeout_s)
            await shard.replica.append([claim], bound)
        except exception.LogThrottledError as error:
            raise _refuse_unclaimed(str(error)) from error
        except exception.LogUnavailableError as error:
            # The claim may be in the log, or come there later, and would then stand
            # in the way of every later request under this key: give it up.
            self._give_up(shard, call_id, request_id)
            raise _refuse_unclaimed(str(error)) from error
        call = shard.ledger.calls[call_id]
        if call.request == request_id:
            return None
        return _answer_known(call, digest)

    def _give_up(self, shard, call_id, request_id):
        self.settle(shard, call_id, request_id, verdict.Verdict.NOT_RUN, None)
        if len(self._given_up) >= MAX_UNSETTLED:
            self._given_up.pop(next(iter(self._given_up)))
        self._given_up[request_id] = (shard, call_id, time.monotonic())

    async def _watch_given_up(self):
        """End claims again that came into the log after their end.

        An append whose answer was lost may land late; its end, which came first, was
        void, and the key would answer "in progress" to everybody for good.
        """
        while True:
            await asyncio.sleep(LATE_CHECK_S)
            for request_id, entry in list(self._given_up.items()):
                shard, call_id, since = entry
                call = shard.ledger.calls.get(call_id)
                if call and call.request == request_id and call.verdict is None:
                    self.settle(
                        shard, call_id, request_id, verdict.Verdict.NOT_RUN, None
                    )
                if time.monotonic() - since > LATE_S:
                    del self._given_up[request_id]

    def settle(self, shard, call_id, request_id, found, answer):
        """Record how a claimed call ended, as soon as the log takes it.

        Args:
            shard: `pimentowick.batch.shard.Shard` of the call.
            call_id: Id of the call.
            request_id: Request that held the claim.
            found: `pimentowick.verdict.Verdict`.
            answer: Dictionary with the answer, or None.
        """
        if answer is not None and len(answer["body"]) > MAX_KEPT_ANSWER:
            answer = None
        ended = batch_record.make_call_ended(call_id, request_id, str(found), answer)
        self._unsettled.append((shard, ended))
        if len(self._unsettled) > MAX_UNSETTLED:
            self._unsettled.popleft()
        self._added.set()

    async def _settle_always(self):
        while True:
            await self._added.wait()
            self._added.clear()
            while self._unsettled:
                await self._settle_first()

    async def _settle_first(self):
        shard = self._unsettled[0][0]
        group = [entry for entry in self._unsettled if entry[0] is shard]
        try:
            await shard.replica.log.append(shard.stream, [ended for _, ended in group])
        except exception.LogError as error:
            logger.warning("calls: {} ends wait for the log. {}", len(group), error)
            await asyncio.sleep(SETTLE_PAUSE_S)
            return
        for entry in group:
            self._unsettled.remove(entry)


def _answer_known(call, digest):
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


def _refuse_unclaimed(reason):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "log_unavailable",
            "This request did not run: it can't be protected from running twice now."
            f" One sent before under its key may have run. {reason}",
            retry_after=1.0,
        )
    )
