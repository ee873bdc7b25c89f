"""Chooses the adapter of each outside system by its name in the settings.

An operator whose log or engine speaks another way writes one module with a subclass of
the abstract base class and names it as ``module:Class``; nothing else changes.
"""

import importlib

from pimentowick import exception
from pimentowick.external import engine, hosts, log, service, weights

__all__ = ["find_adapter"]

ADAPTERS = {
    "log": (log.Log, {"http": log.HttpLog}),
    "hosts": (hosts.HostList, {"http": hosts.HttpHostList}),
    "engine": (engine.Engine, {"http": engine.HttpEngine}),
    "service": (service.Service, {"http": service.HttpService}),
    "weights": (weights.WeightStore, {"http": weights.HttpWeightStore}),
}


def find_adapter(system, name):
    """Return the class that speaks to an outside system.

    Args:
        system: ``log``, ``hosts``, ``engine``, ``service`` or ``weights``.
        name: ``http``, or ``module:Class`` of an adapter elsewhere.

    Raises:
        SettingsError: There is no such adapter, or it is not one of `system`.

    Examples:
        >>> find_adapter("log", "http").__name__
        'HttpLog'
        >>> find_adapter("hosts", "pimentowick.external.hosts:HttpHostList").__name__
        'HttpHostList'
    """
    base, known = ADAPTERS[system]
    if name in known:
        return known[name]
    module_name, _, class_name = name.partition(":")
    try:
        found = getattr(importlib.import_module(module_name), class_name)
    except (ImportError, AttributeError, ValueError) as error:
        names = ", ".join(known)
        raise exception.SettingsError(
            f"{system} adapter {name!r}: expected {names} or module:Class."
        ) from error
    if not (isinstance(found, type) and issubclass(found, base)):
        raise exception.SettingsError(
            f"{system} adapter {name!r}: not a subclass of {base.__name__}."
        )
    return found
