"""Settings and shard stubs for tests of single components of an entry."""

import types

from pimentowick import settings as process_settings
from pimentowick.batch import ledger as batch_ledger

__all__ = ["make_settings", "make_shard"]


def make_settings(**fields):
    """Return the settings of an entry."""
    platform = {"log": "127.0.0.1:1", "hosts": "127.0.0.1:1"}
    return process_settings.EntrySettings(
        name="a", failure_domain="here", platform=platform, **fields
    )


def make_shard(number, log, records=()):
    """Return a stub of a shard that has applied `records` and appends to `log`."""
    ledger = batch_ledger.Ledger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    replica = types.SimpleNamespace(log=log, ready=True)
    return types.SimpleNamespace(
        number=number, ledger=ledger, replica=replica, stream=f"shard-{number}"
    )
