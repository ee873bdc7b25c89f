"""Authentication of callers: finds the workspace that owns a request's API key."""

import asyncio

from pimentowick import exception, verdict
from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import freshness

__all__ = ["Authentication"]

# An unknown key triggers a refresh only if the local configuration is older than this.
# Concurrent requests share one refresh, so this also limits the load on the store.
REFRESH_AGE_S = 1.0
REFRESH_TIMEOUT_S = 0.8
# No refresh is attempted for this long after one that failed.
REFRESH_BACKOFF_S = 0.5
# Retry-After while other entries reach the store and can serve the caller.
RETRY_ELSEWHERE_S = 0.02
# Retry-After while no entry reaches the store; long, since most callers retry once.
RETRY_STORE_OUTAGE_S = 1.5


class Authentication:
    """Checks API keys against the configuration in force.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        feed: The `pimentowick.gateway.feed.Feed` that updates the configuration.
        revocation_s: Seconds within which all entries must reject a revoked key, or
            None for no such limit.
        is_cut_off: Function that returns whether other entries reach the store while
            this one does not.
    """

    def __init__(self, configuration, feed, revocation_s, is_cut_off):
        self._configuration = configuration
        self._feed = feed
        self._revocation_s = revocation_s
        self._is_cut_off = is_cut_off
        self._refresh_task = None
        self._next_refresh_at = float("-inf")

    @property
    def age_s(self):
        """Seconds since the request for the last confirmed configuration was sent."""
        return self._feed.clock() - self._feed.fresh_at_boottime

    @property
    def enforces_max_age(self):
        """Whether keyed requests are refused once the configuration is too old."""
        current = self._configuration.current
        is_keyed = current is not None and current.workspaces is not None
        return is_keyed and self._revocation_s is not None

    @property
    def should_leave_rotation(self):
        """Whether the load balancer should send callers to other entries."""
        if not self.enforces_max_age:
            return False
        return freshness.should_leave_rotation(
            self.age_s, self._revocation_s, self._is_cut_off()
        )

    async def identify(self, call, is_public):
        """Return the `workspace.Workspace` of a request, or None without one.

        Args:
            call: The `pimentowick.platform.message.RequestHeaders` of its headers.
            is_public: Whether the route needs no key.

        Raises:
            RefusedError: The key is missing or unknown, or the configuration is too
                old to tell.
        """
        workspaces = self._configuration.current.workspaces
        if workspaces is None or (is_public and not call.key):
            return None
        if not call.key:
            self._log_refusal(call, "key_missing")
            raise exception.RefusedError(
                _make_unauthorized("Send the key of a workspace.")
            )
        workspace = workspaces.find(call.key)
        if workspace is None:
            workspace = await self._find_after_refresh(call)
        age_class = freshness.classify_age(self.age_s, self._revocation_s)
        if age_class == freshness.Freshness.STALE:
            self._log_refusal(call, "configuration_old", workspace=workspace.name)
            raise exception.RefusedError(self._make_stale_refusal())
        return workspace

    async def _find_after_refresh(self, call):
        """Look up a key in the newest configuration in the store."""
        if self.age_s > REFRESH_AGE_S and not await self._refresh():
            self._log_refusal(call, "key_unsure")
            raise exception.RefusedError(self._make_stale_refusal())
        workspaces = self._configuration.current.workspaces
        workspace = None if workspaces is None else workspaces.find(call.key)
        if workspace is None:
            self._log_refusal(call, "key_unknown")
            raise exception.RefusedError(
                _make_unauthorized("No workspace has this key.")
            )
        return workspace

    async def _refresh(self):
        """Refresh the configuration, once for all concurrent callers.

        Returns:
            Whether the store answered.
        """
        if self._refresh_task is None:
            if self._feed.clock() < self._next_refresh_at:
                return False
            self._refresh_task = asyncio.ensure_future(self._refresh_from_store())
            self._refresh_task.add_done_callback(self._on_refreshed)
        return await asyncio.shield(self._refresh_task)

    async def _refresh_from_store(self):
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                await self._feed.refresh()
        except (TimeoutError, exception.LogError) as error:
            decision_log.log_event("configuration.not_read", why=str(error))
            self._next_refresh_at = self._feed.clock() + REFRESH_BACKOFF_S
            return False
        return True

    def _on_refreshed(self, task):
        self._refresh_task = None

    def _make_stale_refusal(self):
        return verdict.Refusal(
            503,
            "configuration_old",
            "This entry can't tell whether the key is in force. Come again.",
            retry_after=(
                RETRY_ELSEWHERE_S if self._is_cut_off() else RETRY_STORE_OUTAGE_S
            ),
        )

    def _log_refusal(self, call, outcome, **fields):
        decision_log.log_request_event(
            "caller.unidentified",
            call.request_id,
            outcome=outcome,
            configuration=self._configuration.current.version,
            age_s=self.age_s,
            **fields,
        )


def _make_unauthorized(message):
    return verdict.Refusal(401, "wrong_token", message)
