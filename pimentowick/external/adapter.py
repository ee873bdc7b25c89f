"""Lookup of the adapter classes for external systems by their names in the settings.

To support a system with another protocol, operators provide a subclass of its abstract
base class and specify it as ``module:Class``.
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
    """Return the adapter class for an external system.

    Args:
        system: ``log``, ``hosts``, ``engine``, ``service`` or ``weights``.
        name: ``http``, or ``module:Class`` of an external adapter.

    Raises:
        SettingsError: The adapter does not exist or is not a subclass of the system's
            abstract base class.

    Examples:
        >>> find_adapter("log", "http").__name__
        'HttpLog'
        >>> find_adapter("hosts", "pimentowick.external.hosts:HttpHostList").__name__
        'HttpHostList'
    """
    base, builtin = ADAPTERS[system]
    if name in builtin:
        return builtin[name]
    module_name, _, class_name = name.partition(":")
    try:
        adapter_class = getattr(importlib.import_module(module_name), class_name)
    except (ImportError, AttributeError, ValueError) as error:
        names = ", ".join(builtin)
        raise exception.SettingsError(
            f"{system} adapter {name!r}: expected {names} or module:Class."
        ) from error
    if not (isinstance(adapter_class, type) and issubclass(adapter_class, base)):
        raise exception.SettingsError(
            f"{system} adapter {name!r}: not a subclass of {base.__name__}."
        )
    return adapter_class
