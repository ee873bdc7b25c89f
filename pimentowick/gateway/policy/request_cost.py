"""What a request takes of a target: tokens and body bytes.

Notes:
    Load pattern: requests of one service differ by many times in the time for which
    they hold a slot, so that counting them says little about the work.
"""

import dataclasses

__all__ = ["Cost"]


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What a request takes of a target, as far as it is known before it runs.

    Attributes:
        prompt_tokens: Number of prompt tokens, cached ones included; 0 if unknown.
        output_tokens: Expected number of output tokens; 0 if unknown.
        max_output_tokens: Limit on the output tokens; 0 if unknown.
        prefix: Parts of the prompt in order, as (identifier, tokens). Requests share
            the leading parts; the last one is the request's own.
        body_bytes: Size of the body.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    max_output_tokens: int = 0
    prefix: tuple = ()
    body_bytes: int = 0
