"""Followers of the store's topics: configuration, targets and other entries."""

import asyncio
import math
import time

import orjson

from pimentowick import endpoint, exception
from pimentowick.gateway import crash_guard, decision_log, feed, route
from pimentowick.gateway.policy import store_outage
from pimentowick.platform import operator

__all__ = ["ConfigurationFollower", "EntryFollower", "TargetFollower"]

# Targets whose records expired in a store outage register again within two seconds.
REREGISTER_S = 2.2
# A record may have been sent this long before the store wrote it.
WRITE_DELAY_S = 1.0


class ConfigurationFollower(feed.Follower):
    """Holds the newest configuration; older versions are ignored.

    Attributes:
        current: The active `route.Configuration`, or None before the first.
        record: Value of the record that it was decoded from.
    """

    def __init__(self):
        self.current = None
        self.record = b""

    def get_limits(self):
        """Return the active `route.Limits` for callers."""
        return route.Limits() if self.current is None else self.current.limits

    def reset(self, records):
        """Apply the newest record of each key."""
        for record in records:
            self.apply(record)

    def apply(self, record):
        """Apply the next record."""
        if record.key == operator.CONFIGURATION_KEY and record.value:
            self.apply_value(record.value)

    def apply_value(self, value):
        """Apply the value of a configuration record if its version is newer."""
        try:
            configuration = operator.decode_configuration(value)
        except exception.ValidationError as error:
            decision_log.log_event("configuration.garbled", why=str(error))
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.record = value
        decision_log.log_event(
            "configuration.applied",
            version=configuration.version,
            routes=len(configuration.routes),
        )


class TargetFollower(feed.Follower):
    """Updates the target table.

    Targets whose records expired in a store outage get time to register again, unless
    the store served other entries meanwhile: then they have left.

    Args:
        table: `target.TargetTable`.
        on_change: Function called after targets were added, changed or removed.
        on_alive: Function called with the identifier of a run of a target and a
            monotonic time at which it was certainly alive.
    """

    def __init__(self, table, on_change, on_alive=lambda target_run, until: None):
        self._table = table
        self._on_change = on_change
        self._on_alive = on_alive
        self._missing_since = {}
        # Hashes of the malformed values, by key.
        self._malformed = {}
        # Offsets of the newest records, by key.
        self._offsets = {}
        self._peer_contact = store_outage.PeerContact()
        # Time of the last complete read before an outage that may have removed records.
        self._complete_until = None
        self._grace_began = asyncio.Event()
        self.feed = None

    def preview(self, records):
        """Add targets before all are read, so that requests can be sent to them."""
        for record in records:
            if record.value:
                self._update(record)

    def reset(self, records):
        """Apply the newest record of each key."""
        listed = {record.key for record in records if record.value}
        for key in self._malformed.keys() - listed:
            del self._malformed[key]
        for key in self._offsets.keys() - listed:
            del self._offsets[key]
        for record in records:
            self._update(record)
        for target_id in list(self._table.by_id):
            if target_id not in listed:
                self._mark_missing(target_id)

    def apply(self, record):
        """Apply the next record, which was written after the last complete read."""
        registration = self._update(record)
        if registration is not None:
            run_id = self._table.by_id[record.key].run_id
            self._on_alive(run_id, self.feed.fresh_at - WRITE_DELAY_S)

    def _update(self, record):
        """Update a target; return its `target.Registration`, if it is listed."""
        registration = None
        is_new = record.offset > self._offsets.get(record.key, -1)
        if record.value:
            self._offsets[record.key] = record.offset
            registration = operator.decode_target(record.key, record.value)
            self._log_if_malformed(record, registration)
        else:
            self._offsets.pop(record.key, None)
            self._malformed.pop(record.key, None)
        if registration is None:
            if record.key in self._table.by_id:
                self._mark_missing(record.key)
            return None
        self._missing_since.pop(record.key, None)
        known = self._table.by_id.get(record.key)
        self._table.put(registration, is_new)
        if known is None or known.registration.is_draining != registration.is_draining:
            decision_log.log_event(
                "target.listed",
                target=record.key,
                service=registration.service,
                version=registration.software_version,
                leaving=registration.is_draining,
                slots=registration.slots,
            )
        self._on_change()
        return registration

    def _log_if_malformed(self, record, registration):
        """Log a record that is no registration, once for each of its values."""
        if registration is not None:
            self._malformed.pop(record.key, None)
            return
        digest = hash(record.value)
        if self._malformed.get(record.key) != digest:
            self._malformed[record.key] = digest
            decision_log.log_event("target.garbled", target=record.key)

    def on_read_failed(self):
        """Remember from when on records may have expired unseen."""
        if self._complete_until is None:
            self._complete_until = self.feed.fresh_at

    def on_caught_up(self):
        """Remove the targets that stay unlisted, if the grace period has passed."""
        self.remove_missing_targets()

    def record_peer_contact(self, at):
        """Record that the store served another entry at a monotonic time."""
        self._peer_contact.record(at)
        if self._missing_since:
            self.remove_missing_targets()

    async def run(self):
        """Remove missing targets as soon as each grace period ends, until cancelled."""
        while True:
            await self._grace_began.wait()
            self._grace_began.clear()
            ends_at = self.feed.recovered_at + REREGISTER_S
            await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
            try:
                # A registration may have been written since the last read.
                await self.feed.refresh()
            except exception.LogError as error:
                decision_log.log_event("targets.unconfirmed", why=str(error))

    def _mark_missing(self, target_id):
        self._missing_since.setdefault(target_id, time.monotonic())
        self.remove_missing_targets()

    def remove_missing_targets(self):
        """Remove the unlisted targets that do not have to register again."""
        is_reachable = self.feed.unreachable_since is None
        if self._complete_until is not None:
            if self._may_have_expired() and self._is_in_grace():
                if is_reachable and self._missing_since:
                    self._grace_began.set()
                return
            if is_reachable:
                self._complete_until = None
        for target_id in self._missing_since:
            decision_log.log_event("target.gone", target=target_id)
            self._table.remove(target_id)
        if self._missing_since:
            self._missing_since.clear()
            self._on_change()

    def _may_have_expired(self):
        """Return whether the store may have been away for everybody."""
        until = self.feed.recovered_at
        if self.feed.unreachable_since is not None:
            until = time.monotonic()
        return not self._peer_contact.covers(self._complete_until, until)

    def _is_in_grace(self):
        """Return whether targets may still be about to register again."""
        if self.feed.unreachable_since is not None:
            return True
        return time.monotonic() - self.feed.recovered_at < REREGISTER_S


class EntryFollower(feed.Follower):
    """Passes on what entries tell each other through the store.

    Args:
        load_reporter: The `pimentowick.gateway.load_report.LoadReporter`, which gets
            the addresses, failure domains and links of entries.
        crash_guard: The `pimentowick.gateway.crash_guard.SharedCrashGuard`, which gets
            the quarantined requests.
    """

    def __init__(self, load_reporter, crash_guard):
        self._load_reporter = load_reporter
        self._crash_guard = crash_guard

    def reset(self, records):
        """Apply the newest record of each key."""
        self._crash_guard.forget_records()
        for record in records:
            self.apply(record)

    def apply(self, record):
        """Apply the next record."""
        if record.key.startswith(crash_guard.KEY_PREFIX):
            self._crash_guard.apply_record(record.key, record.value)
            return
        if not record.value:
            self._load_reporter.remove(record.key)
            return
        try:
            data = orjson.loads(record.value)
            domain, link_mbps = str(data["failure_domain"]), float(data["link_mbps"])
            # Names of hosts would be looked up with each report.
            endpoint.parse(record.key)
            if not math.isfinite(link_mbps):
                raise ValueError("The capacity of its link is not finite.")
            self._load_reporter.add_member(record.key, domain, link_mbps)
        except (ValueError, OverflowError, TypeError, LookupError) as error:
            decision_log.log_event("entry.garbled", entry=record.key, why=str(error))

    def on_caught_up(self):
        """Report that all entries listed in the store are known."""
        self._load_reporter.on_members_listed()
