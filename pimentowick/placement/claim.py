"""Who decides on the placement, folded from the stream ``placement``.

The newest claim is in force, and its fencing number is its place in the stream. A
reader needs no older record for that, so the stream needs no checkpoints: the
renewals of the decider carry its number beyond the end of retention, and a claim
after everything was lost still has a higher number than any before it.
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
    """Return the record that shows the decider with number `fence` alive."""
    record = {"id": external_log.make_id(), "type": RENEW}
    return {**record, "owner": owner, "fence": fence}


def make_release(fence):
    """Return the record that gives the claim with number `fence` up."""
    return {"id": external_log.make_id(), "type": RELEASE, "fence": fence}


class ClaimStateMachine(state_machine.StateMachine):
    """The claim in force.

    Attributes:
        fence: Its fencing number; 0 while there is none.
        owner: The decider, or None.
        owner_offset: Offset of its last record.

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
        # A claim stands before its renewals; a number beyond that is made up, and
        # would keep all true claims out.
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
    """Follows the stream; what passed out of retention is not missed.

    Args:
        log: `pimentowick.external.log.Log`.
    """

    def __init__(self, log):
        super().__init__(log, STREAM, ClaimStateMachine(), lambda: READ_WAIT_S)

    def _begin_recovery(self, first):
        self.offset = first

    async def is_up_to_date(self):
        """Return whether the fold holds all that the log holds now.

        The task that follows may have a read under way that began long ago; an own
        one without waiting tells at once.

        Raises:
            LogUnavailableError: The log gave no answer.
        """
        page = await self.log.read(self.stream, self.offset, limit=1)
        return self.offset >= page.head
