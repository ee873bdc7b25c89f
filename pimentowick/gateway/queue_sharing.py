"""One queue of online requests over all entries, and fair shares of its workspaces.

Notes:
    This module keeps what entries tell each other for the decisions of
    `pimentowick.gateway.policy.fair_share` and `policy.shared_queue`. A service takes
    part if its targets share their hosts; work is counted by workspace if requests
    carry one.
"""

import collections
import dataclasses
import math
import random
import time

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import fair_share, shared_queue

__all__ = ["QueueSharing", "WorkspaceState"]

LOG_INTERVAL_S = 1.0
# The order is updated before slots are granted, at this interval or less often.
UPDATE_INTERVAL_S = 0.005
# Reports that change the shares arrive at this interval or less often.
SHARE_INTERVAL_S = 0.02
LOGGED_WORKSPACES = 3
# Weight of the newest request in the mean number of tokens of a service.
TOKENS_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceState:
    """Work of one workspace over all services, for metrics.

    Attributes:
        name: Its name.
        waiting: Number of its requests queued at this entry.
        served: Number of its requests that got a slot at this entry since the last
            call of `QueueSharing.collect_workspaces`.
        held: Slots that it holds at all entries, as far as they are known.
        room_share: Part of the slots held by all workspaces.
    """

    name: str
    waiting: int
    served: int
    held: float
    room_share: float


class _ServiceQueue:
    """What is known of the queue of one service at all entries."""

    def __init__(self, shares):
        self.shares = shares
        self.own = collections.Counter()
        self.peers = {}
        self.others = collections.Counter()
        self.credit = shared_queue.LowPriorityCredit()
        self.mean_tokens = 0.0
        self.merged_at = 0.0
        self.next_log_at = 0.0
        self.left_slots = 0
        self.update_at = float("-inf")
        self._share = None
        self._share_until = float("-inf")

    def get_share(self, slots, now):
        """Return the value of `FairShare.compute_shares`, computed lately."""
        if now >= self._share_until:
            self._share = self.shares.compute_shares(slots)
            self._share_until = now + SHARE_INTERVAL_S
        return self._share

    def assign_tag(self, slot_request, ahead, slots, now):
        """Return a request with its start tag; see `FairShare.compute_tag`."""
        if not slot_request.workspace:
            return slot_request
        share = self.get_share(slots, now)
        tag = self.shares.compute_tag(slot_request.workspace, ahead, share)
        return dataclasses.replace(slot_request, start_tag=tag)

    def put_peer(self, address, counts):
        """Replace the classes of requests that wait at another entry."""
        self.others.subtract(self.peers.pop(address, {}))
        self.others.update(counts)
        for queue_class in [key for key, count in self.others.items() if count <= 0]:
            del self.others[queue_class]
        if counts:
            self.peers[address] = counts


class QueueSharing:
    """Orders queued requests over all entries and limits what this one may grant.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.
        make_shares: Function that returns the `fair_share.FairShare` of a service.
        draw: Function that returns a random number in [0, 1).
    """

    def __init__(self, table, make_shares=fair_share.MaxMinShares, draw=random.random):
        self._table = table
        self._make_shares = make_shares
        self._draw = draw
        self._services = {}
        self._served = collections.Counter()

    def is_shared(self, service):
        """Return whether the entries serve one queue together."""
        return self._table.has_shared_hosts(service)

    def add_queued(self, slot_request, slots):
        """Record that a request joins the queue; return it with its start tag.

        Args:
            slot_request: The `admission.SlotRequest`.
            slots: Slots of all usable targets.
        """
        queue = self._get_queue(slot_request.service)
        now = time.monotonic()
        workspace = slot_request.workspace
        ahead = queue.shares.get_own_queued(workspace) if workspace else 0
        slot_request = queue.assign_tag(slot_request, ahead, slots, now)
        if workspace:
            queue.shares.record_queued(workspace, 1)
        queue.own[_classify(slot_request, now)] += 1
        return slot_request

    def remove_queued(self, slot_request, left):
        """Record that a request left the queue, in which a number of them are left."""
        queue = self._get_queue(slot_request.service)
        if slot_request.workspace:
            queue.shares.record_queued(slot_request.workspace, -1)
        if not left:
            queue.own.clear()
        queue.update_at = float("-inf")

    def is_update_due(self, service):
        """Return whether the order of the queued requests has to be updated."""
        return time.monotonic() >= self._get_queue(service).update_at

    def record_start(self, slot_request):
        """Record that a request got a slot."""
        queue = self._get_queue(slot_request.service)
        if not slot_request.workspace:
            return
        tokens = fair_share.count_tokens(slot_request.cost)
        hold = fair_share.compute_hold(slot_request.cost, queue.mean_tokens)
        if tokens:
            known = queue.mean_tokens or tokens
            queue.mean_tokens = known + TOKENS_WEIGHT * (tokens - known)
        queue.shares.record_start(slot_request.workspace, hold, time.monotonic())
        self._served[slot_request.workspace] += 1

    def record_end(self, service, workspace):
        """Record that a request of a workspace released its slot."""
        if workspace:
            shares = self._get_queue(service).shares
            shares.record_end(workspace, time.monotonic())

    def update(self, service, slot_requests, slots, slots_per_s):
        """Return the queued requests of this entry with current start tags and ranks.

        Args:
            service: Name of the service.
            slot_requests: Its queued `admission.SlotRequest` objects.
            slots: Slots of all usable targets.
            slots_per_s: Number of slots that all entries release per second.

        Returns:
            The requests in the same order.
        """
        now = time.monotonic()
        queue = self._get_queue(service)
        queue.update_at = now + UPDATE_INTERVAL_S
        ahead = collections.Counter()
        updated = list(slot_requests)
        order = sorted(range(len(updated)), key=lambda at: updated[at].start_deadline)
        for position in order:
            workspace = updated[position].workspace
            updated[position] = queue.assign_tag(
                updated[position], ahead[workspace], slots, now
            )
            ahead[workspace] += 1
        self._promote(queue, updated, slots_per_s, now)
        queue.own = collections.Counter(_classify(each, now) for each in updated)
        self._log(service, queue, queue.get_share(slots, now), now)
        return updated

    def count_ahead(self, slot_request, slots):
        """Return how many requests that wait at any entry come before a new one.

        Args:
            slot_request: The new `admission.SlotRequest`.
            slots: Slots of all usable targets.
        """
        now = time.monotonic()
        queue = self._get_queue(slot_request.service)
        ahead = queue.shares.get_own_queued(slot_request.workspace)
        slot_request = queue.assign_tag(slot_request, ahead, slots, now)
        queue_class = _classify(slot_request, now)
        waiting = shared_queue.sum_classes([queue.own, queue.others])
        return sum(count for each, count in waiting.items() if each <= queue_class)

    def compute_limit(self, service, free_slots):
        """Return how many of the free slots this entry may use for its queue."""
        queue = self._get_queue(service)
        return shared_queue.compute_limit(
            free_slots, queue.own, queue.others, self._draw
        )

    def should_leave_slot(self, service, free_slots, expected_releases):
        """Return whether a slot released here is left to requests at other entries.

        Args:
            service: Name of the service.
            free_slots: Number of further free slots.
            expected_releases: Number of slots that all entries release within the
                propagation delay.
        """
        queue = self._get_queue(service)
        if not queue.own:
            return False
        ahead = shared_queue.count_urgent(min(queue.own), queue.others)
        is_left = shared_queue.should_leave_slot(
            ahead, free_slots, expected_releases, self._draw
        )
        queue.left_slots += is_left
        return is_left

    def build_report(self, now):
        """Return what to tell other entries, by service: `work` and `queue`."""
        report = {}
        for service, queue in self._services.items():
            fields = {
                "work": queue.shares.build_rows(now),
                "queue": _encode_classes(queue.own),
            }
            fields = {name: rows for name, rows in fields.items() if rows}
            if fields:
                report[service] = fields
        return report

    def merge_report(self, address, report, now):
        """Replace what another entry told; an empty report removes it.

        Raises:
            ValueError, TypeError, AttributeError: The report is malformed.
        """
        for service in self._services.keys() | report.keys():
            fields = report.get(service, {})
            queue = self._get_queue(str(service))
            counts = _decode_classes(fields.get("queue", ()))
            queue.shares.merge_rows(address, fields.get("work", {}), now)
            queue.put_peer(address, counts)
            queue.merged_at = now

    def remove_peer(self, address):
        """Remove an entry with all that it told."""
        self.merge_report(address, {}, time.monotonic())

    def collect_workspaces(self):
        """Return a `WorkspaceState` for each busy workspace, the busiest first."""
        waiting, held = collections.Counter(), collections.Counter()
        served, self._served = self._served, collections.Counter()
        held.update(dict.fromkeys(served, 0.0))
        for queue in self._services.values():
            for name in queue.shares.list_workspaces():
                held[name] += queue.shares.get_usage(name).held
                waiting[name] += queue.shares.get_own_queued(name)
        total = sum(held.values()) or 1.0
        names = sorted(held, key=lambda name: (-held[name], -waiting[name], name))
        return [
            WorkspaceState(
                name,
                waiting[name],
                served[name],
                held[name],
                held[name] / total,
            )
            for name in names
        ]

    def _get_queue(self, service):
        queue = self._services.get(service)
        if queue is None:
            queue = self._services[service] = _ServiceQueue(self._make_shares())
        return queue

    def _promote(self, queue, slot_requests, slots_per_s, now):
        """Put the first request of a lower priority before all others if it is due."""
        waiting = shared_queue.sum_classes(
            [
                queue.others,
                collections.Counter(_classify(r, now) for r in slot_requests),
            ]
        )
        if not waiting:
            return
        top = min(waiting).rank
        low = [at for at, each in enumerate(slot_requests) if each.rank > top]
        all_low = sum(n for each, n in waiting.items() if each.rank > top)
        if not queue.credit.earn(slots_per_s, len(low) / max(1, all_low), now):
            return
        chosen = min(low, key=lambda at: _make_order_key(slot_requests[at], now))
        rank = (top[0] - 1, *top[1:])
        # It goes first even if it is late.
        promoted = dataclasses.replace(
            slot_requests[chosen], rank=rank, start_deadline=math.inf
        )
        decision_log.log_event(
            "queue.promoted",
            service=promoted.service,
            workspace=promoted.workspace,
            rank=slot_requests[chosen].rank,
            first_rank=top,
            behind=all_low,
        )
        slot_requests[chosen] = promoted

    def _log(self, service, queue, share, now):
        if not queue.own or now < queue.next_log_at:
            return
        queue.next_log_at = now + LOG_INTERVAL_S
        usages = {n: queue.shares.get_usage(n) for n in queue.shares.list_workspaces()}
        busiest = sorted(usages, key=lambda n: (-usages[n].held, n))[:LOGGED_WORKSPACES]
        decision_log.log_event(
            "queue.shares",
            service=service,
            waiting=sum(queue.own.values()),
            waiting_elsewhere=sum(queue.others.values()),
            urgent_elsewhere=shared_queue.count_urgent(min(queue.own), queue.others),
            workspaces=len(usages),
            share=share,
            busiest={n: [usages[n].held, usages[n].queued] for n in busiest},
            slots_left=queue.left_slots,
            age_s=now - queue.merged_at if queue.merged_at else None,
        )


def _classify(slot_request, now):
    return shared_queue.QueueClass(
        tuple(slot_request.rank),
        slot_request.start_deadline < now,
        shared_queue.compute_level(slot_request.start_tag),
    )


def _make_order_key(slot_request, now):
    return _classify(slot_request, now), slot_request.start_deadline


def _encode_classes(counts):
    """Return rows of priorities, whether late, level and count."""
    kept = shared_queue.limit_classes(counts)
    return [[list(c.rank), int(c.is_late), c.level, n] for c, n in kept.items()]


def _decode_classes(rows):
    counts = collections.Counter()
    for rank, is_late, level, count in rows:
        queue_class = shared_queue.QueueClass(
            tuple(map(int, rank)), bool(int(is_late)), int(level)
        )
        counts[queue_class] += max(0, int(count))
    return counts
