"""A queue that is fair between workspaces, counted in tokens.

Notes:
    Start-time fair queueing: each request gets a start tag, the larger of the
    queue's virtual time and the finish tag of its workspace's previous request, and
    a finish tag, which lies its cost divided by its weight further. The request with
    the least start tag goes first. A workspace that floods the queue pushes only its
    own tags ahead.

References:
    P. Goyal, H. M. Vin and H. Cheng, "Start-time fair queueing: a scheduling
    algorithm for integrated services packet switching networks", IEEE/ACM
    Transactions on Networking 5(5), 1997.
"""

import collections
import heapq
import itertools

__all__ = ["FairQueue", "StartTags"]


class StartTags:
    """Start tags of workspaces that share something.

    Examples:
        >>> tags = StartTags()
        >>> [tags.assign("flood", 10) for _ in range(3)], tags.assign("calm", 10)
        ([0.0, 10.0, 20.0], 0.0)
        >>> tags.record_served(20.0)
        >>> tags.assign("calm", 10)
        20.0
    """

    def __init__(self):
        self._finish = {}
        self._virtual = 0.0

    @property
    def virtual_time(self):
        """The tag of whatever was served last."""
        return self._virtual

    def assign(self, workspace, cost, weight=1.0):
        """Return the start tag of a request, the least of which goes first.

        Args:
            workspace: Name of the workspace that it belongs to.
            cost: What it is expected to take.
            weight: Share of the workspace.
        """
        start = max(self._virtual, self._finish.get(workspace, 0.0))
        self._finish[workspace] = start + cost / weight
        return start

    def record_served(self, tag):
        """Note that a request with a tag had its turn."""
        self._virtual = max(self._virtual, tag)

    def forget(self):
        """Forget all: nobody waits, and tags of the past would punish who comes."""
        self._finish.clear()
        self._virtual = 0.0


class FairQueue:
    """Holds entries of several workspaces and returns them in a fair order.

    Examples:
        >>> queue = FairQueue()
        >>> for i in range(3):
        ...     queue.push("flood", f"f{i}", cost=10)
        >>> queue.push("calm", "c0", cost=10)
        >>> [queue.pop() for _ in range(4)]
        ['f0', 'c0', 'f1', 'f2']
    """

    def __init__(self):
        self._heap = []
        self._order = itertools.count()
        self._tags = StartTags()
        self._workspaces = {}
        self._waiting = collections.Counter()

    def __len__(self):
        return len(self._workspaces)

    def count_waiting(self, workspace):
        """Return how many entries of a workspace wait."""
        return self._waiting[workspace]

    def count_workspaces(self):
        """Return how many workspaces have entries that wait."""
        return len(self._waiting)

    def push(self, workspace, request, cost, weight=1.0, charged=False):
        """Add an entry.

        Args:
            workspace: Name of the workspace that it belongs to.
            request: Anything hashable.
            cost: Expected tokens.
            weight: Share of the workspace.
            charged: Whether its cost was counted before. An entry that had its turn and
                was sent back goes first, and its workspace pays only once.
        """
        if charged:
            self._push(self._tags.virtual_time, workspace, request)
            return
        self._push(self._tags.assign(workspace, cost, weight), workspace, request)

    def _push(self, start, workspace, request):
        heapq.heappush(self._heap, (start, next(self._order), request))
        self._workspaces[request] = workspace
        self._waiting[workspace] += 1

    def peek(self):
        """Return the next entry and leave it in the queue.

        Raises:
            IndexError: The queue is empty.
        """
        while self._heap[0][2] not in self._workspaces:
            heapq.heappop(self._heap)
        return self._heap[0][2]

    def pop(self):
        """Remove and return the next entry.

        Raises:
            IndexError: The queue is empty.
        """
        request = self.peek()
        start, _, _ = heapq.heappop(self._heap)
        self._tags.record_served(start)
        self.remove(request)
        return request

    def remove(self, request):
        """Drop an entry that waits."""
        workspace = self._workspaces.pop(request)
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            del self._waiting[workspace]
        if not self._workspaces:
            self._forget()

    def _forget(self):
        self._heap.clear()
        self._tags.forget()
