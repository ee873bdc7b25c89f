"""Who calls: the workspace that holds a request's key, or a refusal."""

import asyncio

from pimentowick import exception, verdict
from pimentowick.gateway import decision
from pimentowick.gateway.policy import freshness

__all__ = ["Authentication"]

# An unknown key may be newer than the configuration here if that is older than this.
# It bounds the looks at the store as well: all that come meanwhile share one.
LOOK_AGE_S = 1.0
LOOK_TIMEOUT_S = 0.8
# After a look that failed there is none for so long, whatever keys come.
LOOK_PAUSE_S = 0.5
# Other entries may serve the caller now.
ELSEWHERE_S = 0.02
# No entry may before the store is back, and most callers come back once.
AWAY_S = 1.5


class Authentication:
    """Checks the keys of callers by the configuration in force.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        feed: The `pimentowick.gateway.feed.Feed` that keeps it up to date.
        bound_s: Seconds within which a key that was taken away has to be out of force
            at all entries, or None.
        is_cut_off: Function that returns whether other entries reach the store while
            this one does not.
    """

    def __init__(self, configuration, feed, bound_s, is_cut_off):
        self._configuration = configuration
        self._feed = feed
        self._bound_s = bound_s
        self._is_cut_off = is_cut_off
        self._look = None
        self._next_look_at = float("-inf")

    @property
    def age_s(self):
        """Seconds since the store was asked for what is known now."""
        return self._feed.clock() - self._feed.proved_at

    @property
    def is_bounded(self):
        """Whether holders of keys have to be refused by the age of what is known."""
        current = self._configuration.current
        is_keyed = current is not None and current.workspaces is not None
        return is_keyed and self._bound_s is not None

    @property
    def should_leave_rotation(self):
        """Whether callers are better sent to other entries from now on."""
        if not self.is_bounded:
            return False
        return freshness.should_leave_rotation(
            self.age_s, self._bound_s, self._is_cut_off()
        )

    async def identify(self, call, is_public):
        """Return the `workspace.Workspace` of a request, or None without one.

        Args:
            call: The `pimentowick.platform.message.RequestHeaders` of its headers.
            is_public: Whether it needs no key.

        Raises:
            RefusedError: Its key is missing or unknown, or this can't be told now.
        """
        workspaces = self._configuration.current.workspaces
        if workspaces is None or (is_public and not call.key):
            return None
        if not call.key:
            self._note(call, "key_missing")
            raise exception.RefusedError(_refuse_key("Send the key of a workspace."))
        found = workspaces.find(call.key)
        if found is None:
            found = await self._find_newer(call)
        standing = freshness.judge_age(self.age_s, self._bound_s)
        if standing == freshness.Standing.OLD:
            self._note(call, "configuration_old", workspace=found.name)
            raise exception.RefusedError(self._refuse_unsure())
        return found

    async def _find_newer(self, call):
        """Look for a key in the newest configuration that the store holds."""
        if self.age_s > LOOK_AGE_S and not await self._look_up():
            self._note(call, "key_unsure")
            raise exception.RefusedError(self._refuse_unsure())
        found = self._configuration.current.workspaces
        found = None if found is None else found.find(call.key)
        if found is None:
            self._note(call, "key_unknown")
            raise exception.RefusedError(_refuse_key("No workspace has this key."))
        return found

    async def _look_up(self):
        """Read the configuration, once for all who ask; return whether it was read."""
        if self._look is None:
            if self._feed.clock() < self._next_look_at:
                return False
            self._look = asyncio.ensure_future(self._ask_store())
            self._look.add_done_callback(self._end_look)
        return await asyncio.shield(self._look)

    async def _ask_store(self):
        try:
            async with asyncio.timeout(LOOK_TIMEOUT_S):
                await self._feed.refresh()
        except (TimeoutError, exception.LogError) as error:
            decision.note_belief("configuration.not_read", why=str(error))
            self._next_look_at = self._feed.clock() + LOOK_PAUSE_S
            return False
        return True

    def _end_look(self, task):
        self._look = None

    def _refuse_unsure(self):
        return verdict.Refusal(
            503,
            "configuration_old",
            "This entry can't tell whether the key is in force. Come again.",
            retry_after=ELSEWHERE_S if self._is_cut_off() else AWAY_S,
        )

    def _note(self, call, why, **fields):
        decision.note_request(
            "caller.unidentified",
            call.request_id,
            outcome=why,
            configuration=self._configuration.current.version,
            age_s=self.age_s,
            **fields,
        )


def _refuse_key(message):
    return verdict.Refusal(401, "wrong_token", message)
