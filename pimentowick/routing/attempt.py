"""A single attempt of a request at one agent."""

import orjson

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.agent import frame

__all__ = ["make_envelope", "read_frames"]

WORK_PATH = "/work"


def make_envelope(
    request_id, attempt, entry, workspace, priority, deadline_s, **fields
):
    """Return the envelope of a request to an agent; see `pimentowick.agent.work`."""
    return {
        "request_id": request_id,
        "attempt": attempt,
        "entry": entry,
        "workspace": workspace,
        "priority": priority,
        "deadline_s": deadline_s,
        **fields,
    }


async def read_frames(client, peer, message, idle_s, new_connection=False):
    """Send `message` to the agent of `peer` and yield lists of response frames.

    Frames received together are yielded together. The last frame of the last list is
    the end frame; a response without one is treated as truncated.

    Args:
        client: `pimentowick.client.Client` of the request's traffic class.
        peer: `pimentowick.membership.peer.Peer`.
        message: Dictionary with the envelope and the request's payload.
        idle_s: Maximum time without received data, in seconds. Agents send keep-alive
            lines, so a longer silence means that the connection or the agent failed.
        new_connection: Whether to use a new connection.

    Raises:
        RefusedError: The response is missing or incomplete. The verdict of the refusal
            says whether the request may have run.
    """
    envelope = message["envelope"]
    request_id, attempt = envelope["request_id"], envelope["attempt"]
    stream = client.open_stream(
        "POST",
        peer.address,
        WORK_PATH,
        message,
        timeout_s=envelope["deadline_s"],
        idle_s=idle_s,
        new_connection=new_connection,
    )
    ended = False
    try:
        while not ended:
            lines = await stream.read_lines()
            if not lines:
                break
            if stream.status not in (None, 200):
                raise exception.RefusedError(_parse_rejection(peer, lines))
            frames, ended = _parse_frames(lines, request_id, attempt)
            if frames:
                yield frames
    except http_client.TransportError as error:
        raise exception.RefusedError(_make_loss_refusal(peer, error)) from error
    finally:
        if not ended:
            stream.abort()
    if not ended:
        raise exception.RefusedError(_make_truncated_refusal(peer))


def _parse_frames(lines, request_id, attempt):
    """Return the frames of this attempt, and whether they include the end frame."""
    frames = []
    for line in lines:
        parsed = frame.parse_frame(line, request_id, attempt)
        if parsed is None:
            continue
        if "refusal" in parsed:
            raise exception.RefusedError(verdict.Refusal.from_dict(parsed["refusal"]))
        frames.append(parsed)
        if parsed.get("end"):
            return frames, True
    return frames, False


def _make_truncated_refusal(peer):
    return verdict.Refusal(
        502,
        "agent_lost",
        f"The answer of {peer.name} broke off.",
        verdict.Verdict.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def _parse_rejection(peer, lines):
    """Return the refusal in an HTTP error response of an agent."""
    try:
        return verdict.Refusal.from_dict(orjson.loads(b"".join(lines)))
    except (ValueError, KeyError, TypeError):
        return _make_truncated_refusal(peer)


def _make_loss_refusal(peer, error):
    if error.timed_out:
        return verdict.make_deadline_refusal(error.verdict)
    code = "agent_silent" if error.stalled else "agent_lost"
    return verdict.Refusal(
        502,
        code,
        f"{peer.name} did not answer: {error}",
        error.verdict,
        retry_after=1.0,
    )
