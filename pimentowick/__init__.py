"""Online and batch inference on one shared fleet.

The package provides the coordination components as a library, and two daemons built
from them: `pimentowick.entry` receives the requests of callers and operators, and
`pimentowick.agent` runs beside each target as a proxy through which all requests to
the target pass.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
