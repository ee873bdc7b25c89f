"""Online and batch inference on one shared fleet.

The package holds the coordination parts as a library, and two thin daemons
made from them: `pimentowick.entry` takes requests from callers and operators,
`pimentowick.agent` stands beside each target and is the only way to it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
