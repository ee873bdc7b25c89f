"""Enforces the quarantine of requests under which targets crash, with all entries.

Notes:
    Entries exchange recent crashes with their load reports. Quarantined requests are
    also recorded in the store, so that they stay quarantined after a restart. An entry
    starts a trial only after a conditional append that counts it, so that one trial
    runs at a time over all entries. While the store is away, one of the entries that
    hear each other runs the trials, chosen by rendezvous hashing.
"""

import asyncio
import time

import orjson

from pimentowick import exception, rendezvous
from pimentowick.gateway import decision_log
from pimentowick.platform import store as platform_store
from pimentowick.routing import crash_guard, quarantine

__all__ = ["KEY_PREFIX", "SharedCrashGuard"]

KEY_PREFIX = "quarantine/"
# Bounds the topic, which every entry reads at startup.
MAX_RECORDS = 256
MAX_RECORDS_PER_APPEND = 32
# A failed condition is checked again after reading the records that caused it.
MAX_APPEND_ATTEMPTS = 3
# Online requests wait for the append that counts their trial.
TRIAL_APPEND_TIMEOUT_S = 1.0
RECORD_INTERVAL_S = 0.2
CLEANUP_INTERVAL_S = 5.0


class SharedCrashGuard(crash_guard.CrashGuard):
    """A `CrashGuard` that shares the quarantine with all entries.

    Args:
        store: `pimentowick.platform.store.Store`.
        address: ``IP:port`` of this entry.
        list_live_peers: Function that returns the addresses of the other live entries.
        metrics: `pimentowick.gateway.metric.Metrics`.

    Attributes:
        feed: The `pimentowick.gateway.feed.Feed` of the topic with the records.
    """

    def __init__(self, store, address, list_live_peers, metrics):
        super().__init__()
        self.feed = None
        self._store = store
        self._address = address
        self._list_live_peers = list_live_peers
        self._metrics = metrics
        # Whether the record of each request names crashes.
        self._recorded = {}
        self._pending = {}
        self._wake = asyncio.Event()

    async def _count_trials(self, names, is_deferred):
        """Count a trial for each name; see `crash_guard.CrashGuard`.

        It is counted to the end if it is cancelled, since the store may have counted it
        already, and is then cancelled there, too.
        """
        counting = asyncio.ensure_future(super()._count_trials(names, is_deferred))
        try:
            return await asyncio.shield(counting)
        except asyncio.CancelledError:
            counting.add_done_callback(self._cancel_counted)
            raise

    def _cancel_counted(self, counting):
        if not counting.cancelled() and counting.exception() is None:
            self.cancel_trial(counting.result())

    async def _count_trial(self, name, suspected, is_deferred):
        """Count a trial in the store; return whether this entry may start it."""
        try:
            async with asyncio.timeout(TRIAL_APPEND_TIMEOUT_S):
                return await self._append(
                    lambda: self._build_trial_record(name, suspected, is_deferred)
                )
        except (TimeoutError, exception.LogError):
            return await self._count_trial_without_store(name, suspected, is_deferred)

    async def _count_trial_without_store(self, name, suspected, is_deferred):
        is_away = self.feed.end is None or self.feed.unreachable_since is not None
        if not is_away or not self._is_designated(name):
            return False
        is_counted = await super()._count_trial(name, suspected, is_deferred)
        if is_counted:
            self._schedule_record(name)
        return is_counted

    def cancel_trial(self, names):
        """Record a trial without a result; see `CrashGuard.cancel_trial`."""
        super().cancel_trial(names)
        for name in names:
            if self.policy.is_quarantined(name):
                self._schedule_record(name)

    def record_crash(self, name, target_run):
        """Record that a target broke off a run; see `CrashGuard.record_crash`."""
        super().record_crash(name, target_run)
        if self.policy.is_quarantined(name):
            if name not in self._recorded:
                self._schedule_record(name)

    def record_survival(self, name, completed=True, began_at=None):
        """Record a run without a crash; see `CrashGuard.record_survival`."""
        has_voided = super().record_survival(name, completed, began_at)
        if has_voided and name in self._recorded:
            self._schedule_record(name)
        return has_voided

    def record_target_survival(self, target_run, until):
        """Record that a run of a target was alive; see `crash_guard.CrashGuard`."""
        voided = super().record_target_survival(target_run, until)
        for name in voided:
            if name in self._recorded:
                self._schedule_record(name)
        return voided

    def record_target_answer(self, target, sent_at):
        """Record that a target answered a request, so that it was alive.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            sent_at: Monotonic time at which the request was sent.
        """
        # A target that may start again under its identifier may be another run.
        if not target.registration.started_ms:
            self.record_target_survival(target.run_id, sent_at)

    def on_opened(self, name):
        """Log and count it; see `CrashGuard.on_opened`."""
        self._metrics.count_quarantine("opened")
        decision_log.log_event(
            "quarantine.opened",
            fingerprint=name,
            targets=self.policy.list_crashes(name),
        )

    def on_trial(self, name, request_id):
        """Log and count it; see `CrashGuard.on_trial`."""
        self._metrics.count_quarantine("trial")
        decision_log.log_request_event(
            "quarantine.trial",
            request_id,
            fingerprint=name,
            trials=self.policy.get_trials(name),
            targets=self.policy.list_crashes(name),
        )

    def on_released(self, name):
        """Log and count it; see `CrashGuard.on_released`."""
        self._metrics.count_quarantine("released")
        decision_log.log_event("quarantine.released", fingerprint=name)

    def on_withdrawn(self, name, target_run):
        """Log and count it; see `CrashGuard.on_withdrawn`."""
        self._metrics.count_quarantine("withdrawn")
        decision_log.log_event(
            "quarantine.withdrawn", fingerprint=name, survived_by=target_run
        )

    def merge_report(self, report):
        """Apply the `quarantine.Report` of another entry."""
        if not (report.crashes or report.voided):
            return
        for name in self.policy.merge_report(report, time.monotonic()):
            self.on_opened(name)
        for name in report.voided:
            self._close_record(name)
        self._notify_changed()

    def _close_record(self, name):
        """Update the record of a request that completed at another entry.

        The record may have been written after that entry had read the records.
        """
        is_open = self._recorded.get(name, False)
        if is_open and not self.policy.list_crashes(name):
            if self._is_designated(name):
                self._schedule_record(name)

    def build_report(self):
        """Return the `quarantine.Report` of this entry."""
        return self.policy.build_report(time.monotonic())

    def forget_records(self):
        """Forget which requests have a record, before a snapshot is applied."""
        self._recorded.clear()

    def apply_record(self, key, value):
        """Apply a record of the store.

        Args:
            key: Its key, which begins with `KEY_PREFIX`.
            value: Its value; empty if the record was deleted.
        """
        name = key.removeprefix(KEY_PREFIX)
        self._recorded.pop(name, None)
        if not value:
            return
        try:
            data = orjson.loads(value)
            report = quarantine.Report(
                {name: [str(target) for target in data["crashes"]]},
                {name: [str(target) for target in data["voided"]]},
            )
            trials, cancelled = int(data["trials"]), int(data["cancelled"])
            sets = [frozenset(map(str, row)) for row in data.get("sets", ())]
        except (ValueError, TypeError, KeyError) as error:
            decision_log.log_event("quarantine.garbled", key=key, why=str(error))
            return
        self._recorded[name] = bool(report.crashes[name])
        self.merge_report(report)
        self._close_record(name)
        self.policy.record_trials(
            name,
            trials,
            time.monotonic(),
            cancelled,
            report.crashes[name],
            sets,
        )

    async def run(self):
        """Write records and remove expired ones, until cancelled."""
        cleaned_at = time.monotonic()
        while True:
            try:
                async with asyncio.timeout(CLEANUP_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            now = time.monotonic()
            if now - cleaned_at >= CLEANUP_INTERVAL_S:
                cleaned_at = now
                self._clean(now)
            await self._write_pending()
            await asyncio.sleep(RECORD_INTERVAL_S)
            if self._pending:
                self._wake.set()

    async def _write_pending(self):
        batch = list(self._pending)[:MAX_RECORDS_PER_APPEND]
        for name in batch:
            del self._pending[name]
        try:
            await self._append(lambda: self._build_records(batch))
        except exception.LogError as error:
            self._pending.update(dict.fromkeys(batch))
            decision_log.log_event(
                "quarantine.unrecorded", waiting=len(self._pending), why=str(error)
            )

    async def _append(self, build):
        """Append the records that `build` returns; return whether there were any.

        Raises:
            LogError: The store did not answer, or other entries kept writing.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            records = build()
            if not records:
                return False
            at = self.feed.end
            if at is None:
                raise exception.LogError("The records have not been read yet.")
            try:
                await self._store.append(
                    self.feed.topic, self.feed.partition, records, at
                )
            except platform_store.OffsetConflictError:
                await self.feed.refresh()
                continue
            self.feed.apply_records(records, at)
            return True
        raise exception.LogError("Other entries kept writing records.")

    def _build_trial_record(self, name, suspected, is_deferred):
        now = time.monotonic()
        if not self.policy.may_start_trial(name, suspected, now, is_deferred):
            return []
        trials = self.policy.get_trials(name) + 1
        record = self._make_record(name, trials, [suspected])
        return [record, *self._list_excess([name])]

    def _build_records(self, names):
        records = []
        for name in names:
            if self.policy.is_known(name):
                trials = self.policy.get_trials(name)
                records.append(self._make_record(name, trials))
            elif name in self._recorded:
                records.append(_make_tombstone(name))
        return records + self._list_excess(names)

    def _make_record(self, name, trials, new_sets=()):
        sets = [*self.policy.list_trial_sets(name), *new_sets]
        report = self.policy.describe(name)
        data = {
            "crashes": report.crashes.get(name, []),
            "voided": report.voided.get(name, []),
            "trials": trials,
            "cancelled": self.policy.get_cancelled(name),
            "sets": [sorted(names) for names in dict.fromkeys(sets)],
        }
        return platform_store.KeyedRecord(KEY_PREFIX + name, orjson.dumps(data))

    def _list_excess(self, written):
        """Return the tombstones of the oldest records beyond `MAX_RECORDS`."""
        others = [name for name in self._recorded if name not in written]
        excess = max(0, len(others) + len(written) - MAX_RECORDS)
        return [_make_tombstone(name) for name in others[:excess]]

    def _is_designated(self, name):
        """Return whether this entry is the one chosen among those that are heard."""
        entries = [self._address, *self._list_live_peers()]
        return self._address == max(
            entries, key=lambda entry: rendezvous.compute_weight(name, entry)
        )

    def _clean(self, now):
        self.policy.expire(now)
        for name in self._recorded:
            if not self.policy.is_known(name):
                if self._is_designated(name):
                    self._schedule_record(name)

    def _schedule_record(self, name):
        self._pending[name] = None
        self._wake.set()


def _make_tombstone(name):
    return platform_store.KeyedRecord(KEY_PREFIX + name, b"")
