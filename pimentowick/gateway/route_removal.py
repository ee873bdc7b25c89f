"""Open jobs whose route the operator has removed."""

__all__ = ["GRACE_S", "RemovedRoutes"]

# An operator who moves a route may remove it before adding it elsewhere; its jobs
# wait for so long. Assumed.
GRACE_S = 10.0


class RemovedRoutes:
    """Notes since when open jobs have no route.

    Without an end their items would stay open for good, and their bodies in the store.
    """

    def __init__(self):
        self._since = {}

    def list_given_up(self, job_table, configuration, now):
        """Return the jobs without a route for longer than that.

        Args:
            job_table: The `pimentowick.gateway.job.JobTable`.
            configuration: The `pimentowick.gateway.route.Configuration` in force.
            now: Monotonic time, in seconds.
        """
        orphans = {
            found.id: found
            for found in job_table.open_jobs.values()
            if configuration.find_batch(found.host, found.path) is None
        }
        self._since = {job_id: self._since.get(job_id, now) for job_id in orphans}
        return [
            orphans[job_id]
            for job_id, since in self._since.items()
            if now - since > GRACE_S
        ]
