"""Tells the log of the process what became of each change of the configuration.

Anybody with access to the platform's log may append to the configuration stream. A
record that is malformed or came too late is skipped by every reader; without a line
about it an operator would look for the fault in the fleet.
"""

from loguru import logger

from pimentowick import supervisor

__all__ = ["ConfigurationWatch"]


class ConfigurationWatch:
    """Writes a line for each change that is read after the first ones.

    Args:
        replica: `pimentowick.replication.replica.Replica` of the configuration.
    """

    def __init__(self, replica):
        self._replica = replica
        self._next_offset = None
        self._supervisor = supervisor.Supervisor("configuration")

    async def start(self):
        """Begin to watch."""
        await self._supervisor.start()
        self._supervisor.start_child("watch", self._watch)

    async def close(self):
        """Stop watching."""
        await self._supervisor.close()

    async def _watch(self):
        replica = self._replica
        while True:
            if replica.ready:
                self._tell()
            async with replica.applied:
                await replica.applied.wait()

    def _tell(self):
        configuration = self._replica.state_machine
        if self._next_offset is None:
            version = configuration.version
            logger.info("configuration: Version {} is in force.", version)
        else:
            for note in self._list_new(configuration):
                _tell_note(note)
        self._next_offset = self._replica.offset

    def _list_new(self, configuration):
        found = []
        for note in reversed(configuration.audit):
            if note.offset < self._next_offset:
                break
            found.append(note)
        return reversed(found)


def _tell_note(note):
    what = f"{note.kind} {note.name}".strip() or "a record"
    if note.accepted:
        logger.info(
            "configuration: Version {} is in force: {} by {}.",
            note.version_after,
            what,
            note.by,
        )
        return
    logger.warning(
        "configuration: {} at offset {} has no effect. {}",
        what,
        note.offset,
        note.reason,
    )
