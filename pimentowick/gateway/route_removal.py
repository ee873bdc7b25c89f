"""Open jobs whose route was removed from the configuration."""

__all__ = ["GRACE_S", "RemovedRouteTracker"]

# Grace period in which a route may be added again, for example under a new name.
GRACE_S = 10.0


class RemovedRouteTracker:
    """Tracks since when open jobs have had no route.

    Without this, their items would stay open and their bodies stored indefinitely.
    """

    def __init__(self):
        self._orphaned_since = {}

    def list_abandoned(self, job_table, configuration, now):
        """Return the open jobs without a route for longer than the grace period.

        Args:
            job_table: The `pimentowick.gateway.job.JobTable`.
            configuration: The current `pimentowick.gateway.route.Configuration`.
            now: Monotonic time, in seconds.
        """
        orphans = {
            job.id: job
            for job in job_table.open_jobs.values()
            if configuration.find_batch_route(job.host, job.path) is None
        }
        self._orphaned_since = {
            job_id: self._orphaned_since.get(job_id, now) for job_id in orphans
        }
        return [
            orphans[job_id]
            for job_id, since in self._orphaned_since.items()
            if now - since > GRACE_S
        ]
