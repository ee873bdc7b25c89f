"""Leader election for placement: a state machine over the stream ``placement``.

The newest claim is in force, and its fencing token is derived from its offset in the
stream. Older records are not needed to determine it, so the stream has no
checkpoints. Renewals carry the token beyond the log's retention, and even if all
records are lost, a new claim gets a higher token than any before.
"""

from pimentowick.external import log as external_log
from pimentowick.replication import replica, state_machine

__all__ = [
    "STREAM",
    "ClaimReplica",
    "ClaimStateMachine",
    "make_claim",
    "make_release",
    "make_renew",
]

STREAM = "placement"
CLAIM = "claim"
RENEW = "renew"
RELEASE = "release"

READ_WAIT_S = 1.0


def make_claim(owner):
    """Return the record of a claim by `owner`."""
    return {"id": external_log.make_id(), "type": CLAIM, "owner": owner}


def make_renew(owner, fence):
    """Return the record that renews the claim with fencing token `fence`."""
    record = {"id": external_log.make_id(), "type": RENEW}
    return {**record, "owner": owner, "fence": fence}


def make_release(fence):
    """Return the record that releases the claim with fencing token `fence`."""
    return {"id": external_log.make_id(), "type": RELEASE, "fence": fence}


class ClaimStateMachine(state_machine.StateMachine):
    """The claim in force.

    Attributes:
        fence: Fencing token of the claim; 0 if there is none.
        owner: Name of the process that holds the claim, or None.
        owner_offset: Offset of the last record of the claim.

    Examples:
        >>> claims = ClaimStateMachine()
        >>> claims.apply(4, make_claim("a"))
        >>> claims.apply(5, make_claim("b"))
        >>> claims.apply(6, make_renew("a", 5))
        >>> claims.owner, claims.fence
        ('b', 6)
    """

    def __init__(self):
        self.fence = 0
        self.owner = None
        self.owner_offset = -1

    def apply(self, offset, record):
        """Apply one record; see `StateMachine.apply`."""
        kind, owner = record.get("type"), record.get("owner")
        if kind == CLAIM and isinstance(owner, str):
            self._set_claim(offset + 1, owner, offset)
            return
        fence = record.get("fence")
        if type(fence) is not int or fence < self.fence:
            return
        # The token of a valid claim is at most the offset of its renewals. A larger,
        # forged one would reject all valid claims.
        if fence > offset:
            return
        if kind == RENEW and isinstance(owner, str):
            self._set_claim(fence, owner, offset)
        elif kind == RELEASE:
            self._set_claim(fence, None, offset)

    def _set_claim(self, fence, owner, offset):
        self.fence = fence
        self.owner = owner
        self.owner_offset = offset

    def dump(self):
        """Return the state; see `StateMachine.dump`."""
        state = {
            "fence": self.fence,
            "owner": self.owner,
            "shown_at": self.owner_offset,
        }
        return [state]

    def load(self, parts):
        """Replace the state; see `StateMachine.load`."""
        state = parts[0]
        self._set_claim(state["fence"], state["owner"], state["shown_at"])


class ClaimReplica(replica.Replica):
    """Replica of the claims; records lost to the log's retention are not needed.

    Args:
        log: `pimentowick.external.log.Log`.
    """

    def __init__(self, log):
        super().__init__(log, STREAM, ClaimStateMachine(), lambda: READ_WAIT_S)

    def _begin_recovery(self, first):
        self.offset = first

    async def is_up_to_date(self):
        """Return whether all records now in the log have been applied.

        The task that follows the stream may be in a long read that began earlier, so
        the head is requested by a separate read that does not wait.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        page = await self.log.read(self.stream, self.offset, limit=1)
        return self.offset >= page.head
