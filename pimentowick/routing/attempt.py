"""One attempt of a request at one agent."""

import orjson

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.agent import frame

__all__ = ["make_envelope", "read_frames"]

WORK_PATH = "/work"


def make_envelope(
    request_id, attempt, entry, workspace, priority, deadline_s, **fields
):
    """Return what an agent is told about a request; see `pimentowick.agent.work`."""
    return {
        "request_id": request_id,
        "attempt": attempt,
        "entry": entry,
        "workspace": workspace,
        "priority": priority,
        "deadline_s": deadline_s,
        **fields,
    }


async def read_frames(client, peer, message, idle_s, fresh=False):
    """Send `message` to the agent of `peer` and yield lists of its frames.

    Frames that arrived together are yielded together. The last frame of the last
    list is the end; an answer without one is never taken for whole.

    Args:
        client: `pimentowick.client.Client` of the request's class of traffic.
        peer: `pimentowick.membership.peer.Peer`.
        message: Envelope and work.
        idle_s: Longest silence, in seconds. Agents send keep-alive lines, so a
            longer one means that the connection or the agent is dead.
        fresh: Whether to use a new connection.

    Raises:
        RefusedError: The attempt got no whole answer; the refusal has the verdict.
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
        fresh=fresh,
    )
    ended = False
    try:
        while not ended:
            lines = await stream.read_lines()
            if not lines:
                break
            if stream.status not in (None, 200):
                raise exception.RefusedError(_read_rejection(peer, lines))
            frames, ended = _parse_frames(lines, request_id, attempt)
            if frames:
                yield frames
    except http_client.TransportError as error:
        raise exception.RefusedError(_explain_loss(peer, error)) from error
    finally:
        if not ended:
            stream.abort()
    if not ended:
        raise exception.RefusedError(_refuse_broken(peer))


def _parse_frames(lines, request_id, attempt):
    """Return the frames of this attempt up to its end, and whether that is there."""
    frames = []
    for line in lines:
        each = frame.parse_frame(line, request_id, attempt)
        if each is None:
            continue
        if "refusal" in each:
            raise exception.RefusedError(verdict.Refusal.from_dict(each["refusal"]))
        frames.append(each)
        if each.get("end"):
            return frames, True
    return frames, False


def _refuse_broken(peer):
    return verdict.Refusal(
        502,
        "agent_lost",
        f"The answer of {peer.name} broke off.",
        verdict.Verdict.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def _read_rejection(peer, lines):
    """Return the refusal of an agent that did not take the message up at all."""
    try:
        return verdict.Refusal.from_dict(orjson.loads(b"".join(lines)))
    except (ValueError, KeyError, TypeError):
        return _refuse_broken(peer)


def _explain_loss(peer, error):
    if error.expired:
        return verdict.make_expired(error.verdict)
    code = "agent_silent" if error.silent else "agent_lost"
    return verdict.Refusal(
        502,
        code,
        f"{peer.name} did not answer: {error}",
        error.verdict,
        retry_after=1.0,
    )
