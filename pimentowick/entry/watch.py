"""Logs the outcome of each configuration change.

Anyone with access to the platform's log can append to the configuration stream. A
malformed or conflicting record has no effect on any entry; the log line tells operators
why.
"""

from loguru import logger

from pimentowick import supervisor

__all__ = ["ConfigurationWatch"]


class ConfigurationWatch:
    """Logs each configuration change that is applied after startup.

    Args:
        replica: `pimentowick.replication.replica.Replica` of the configuration.
    """

    def __init__(self, replica):
        self._replica = replica
        self._next_offset = None
        self._supervisor = supervisor.Supervisor("configuration")

    async def start(self):
        """Start watching the configuration."""
        await self._supervisor.start()
        self._supervisor.start_child("watch", self._watch)

    async def close(self):
        """Stop watching."""
        await self._supervisor.close()

    async def _watch(self):
        replica = self._replica
        while True:
            if replica.ready:
                self._log_changes()
            async with replica.applied:
                await replica.applied.wait()

    def _log_changes(self):
        configuration = self._replica.state_machine
        if self._next_offset is None:
            version = configuration.version
            logger.info("configuration: Version {} is in force.", version)
        else:
            for audit_entry in self._list_new_entries(configuration):
                _log_change(audit_entry)
        self._next_offset = self._replica.offset

    def _list_new_entries(self, configuration):
        new_entries = []
        for audit_entry in reversed(configuration.audit):
            if audit_entry.offset < self._next_offset:
                break
            new_entries.append(audit_entry)
        return reversed(new_entries)


def _log_change(audit_entry):
    subject = f"{audit_entry.kind} {audit_entry.name}".strip() or "a record"
    if audit_entry.accepted:
        logger.info(
            "configuration: Version {} is in force: {} by {}.",
            audit_entry.version_after,
            subject,
            audit_entry.by,
        )
        return
    logger.warning(
        "configuration: {} at offset {} has no effect. {}",
        subject,
        audit_entry.offset,
        audit_entry.reason,
    )
