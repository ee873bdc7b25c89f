"""Fair queueing between workspaces, weighted by tokens.

Notes:
    Start-time fair queueing: the start tag of a request is the maximum of the queue's
    virtual time and the finish tag of the previous request of the same workspace. Its
    finish tag is the start tag plus the request's cost divided by the workspace's
    weight. Requests are served in order of their start tags. A workspace that sends
    many requests advances only its own tags.

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
    """Assigns start tags to the requests of workspaces that share a resource.

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
        """Largest start tag of the requests served so far."""
        return self._virtual

    def assign(self, workspace, cost, weight=1.0):
        """Return the start tag of a request; the lowest tag is served first.

        Args:
            workspace: Name of the request's workspace.
            cost: Expected cost of the request.
            weight: Fair-share weight of the workspace.
        """
        start = max(self._virtual, self._finish.get(workspace, 0.0))
        self._finish[workspace] = start + cost / weight
        return start

    def record_served(self, tag):
        """Advance the virtual time to the start tag of a request that was served."""
        self._virtual = max(self._virtual, tag)

    def reset(self):
        """Discard all tags; call when the queue is empty.

        Old finish tags would otherwise delay the next requests of their workspaces.
        """
        self._finish.clear()
        self._virtual = 0.0


class FairQueue:
    """Queue of requests of several workspaces, served in fair order.

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
        """Return the number of queued requests of a workspace."""
        return self._waiting[workspace]

    def count_workspaces(self):
        """Return the number of workspaces with queued requests."""
        return len(self._waiting)

    def push(self, workspace, request, cost, weight=1.0, charged=False):
        """Add a request.

        Args:
            workspace: Name of the request's workspace.
            request: Hashable object.
            cost: Expected number of tokens.
            weight: Fair-share weight of the workspace.
            charged: Whether the cost was charged already. A preempted request is queued
                again at the current virtual time without a second charge.
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
        """Return the next request without removing it.

        Raises:
            IndexError: The queue is empty.
        """
        while self._heap[0][2] not in self._workspaces:
            heapq.heappop(self._heap)
        return self._heap[0][2]

    def pop(self):
        """Remove and return the next request.

        Raises:
            IndexError: The queue is empty.
        """
        request = self.peek()
        start, _, _ = heapq.heappop(self._heap)
        self._tags.record_served(start)
        self.remove(request)
        return request

    def remove(self, request):
        """Remove a queued request."""
        workspace = self._workspaces.pop(request)
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            del self._waiting[workspace]
        if not self._workspaces:
            self._reset()

    def _reset(self):
        self._heap.clear()
        self._tags.reset()
