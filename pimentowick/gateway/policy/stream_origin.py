"""Which software version began a stream.

Notes:
    Failure pattern: targets of several software versions serve side by side, and the
    events of two versions do not fit together. A target crashes midway, and the stream
    may go on only at another one of the same version.
"""

import dataclasses

__all__ = ["Origin"]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        service: Name of the service.
        software_version: Version of the target that sent the first event, or None.
    """

    service: str
    software_version: str | None
