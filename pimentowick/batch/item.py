"""One attempt to run a batch item at an agent, and its outcome."""

import dataclasses
import enum

from pimentowick import completion, exception, verdict
from pimentowick.routing import attempt as routing_attempt

__all__ = ["Outcome", "Progress", "Result", "make_failure", "run_item"]

BATCH = "batch"
ITEM_DEADLINE_S = 3600.0
# Statuses caused by the item itself; every target would answer the same.
NON_RETRYABLE_STATUSES = frozenset([400, 404, 413, 422])
# Reasons for which a working agent stops an item that has begun.
STOP_CODES = frozenset(["lease_lapsed"])


class Outcome(enum.Enum):
    """Outcome of an attempt to run an item."""

    DONE = "done"
    """The item has a final result, either success or failure."""
    NOT_RUN = "not_run"
    """The target did not run the item, or stopped it; it can be retried elsewhere."""
    TARGET_FAILED = "lost"
    """The target or the connection failed while the item was running."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of an item that is preserved between its attempts.

    Attributes:
        texts: Tokens generated so far; the next attempt resumes after them.
        attempts: Number of attempts started.
        software_version: Version of the target that generated the tokens.
    """

    texts: list = dataclasses.field(default_factory=list)
    attempts: int = 0
    software_version: str | None = None

    def prepare(self, software_version):
        """Prepare an attempt at a target; discard the tokens of another version."""
        if software_version != self.software_version:
            self.texts.clear()
        self.software_version = software_version


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of an attempt.

    Attributes:
        outcome: `Outcome`.
        status: ``succeeded`` or ``failed`` if the outcome is `Outcome.DONE`.
        body: Result of the item if the outcome is `Outcome.DONE`.
        refusal: Reason for a failure, or None.
    """

    outcome: Outcome
    status: str | None = None
    body: dict | None = None
    refusal: object = None


async def run_item(client, peer, owner, job, item, body, progress, weight, idle_s):
    """Run one attempt of an item at `peer`.

    Args:
        client: `pimentowick.client.Client` for batch traffic.
        peer: `pimentowick.membership.peer.Peer`.
        owner: Name under which this process holds its leases.
        job: `pimentowick.batch.state.Job`.
        item: Number of the item.
        body: Body of the item as stored in the log.
        progress: `Progress` of the item, updated with generated tokens.
        weight: Weight of the workspace.
        idle_s: Maximum time between two frames from the agent, in seconds.

    Returns:
        The `Result`.
    """
    progress.attempts += 1
    progress.prepare(peer.software_version)
    request_id = f"{job.id}-{item}"
    envelope = routing_attempt.make_envelope(
        request_id,
        progress.attempts,
        owner,
        job.workspace,
        BATCH,
        ITEM_DEADLINE_S,
        weight=weight,
        lease=peer.lease,
        cost=body["max_tokens"],
        job=job.id,
    )
    generation = {name: body[name] for name in ("model", "adapter", "prompt")}
    generation["max_tokens"] = body["max_tokens"]
    generation["resume_tokens"] = len(progress.texts)
    message = {"envelope": envelope, "generate": generation}
    end = None
    try:
        async for frames in routing_attempt.read_frames(client, peer, message, idle_s):
            for frame in frames:
                if "texts" in frame and frame["index"] == len(progress.texts):
                    progress.texts.extend(frame["texts"])
                elif frame.get("end"):
                    end = frame
    except exception.RefusedError as error:
        return _classify_refusal(body, error.refusal)
    if end["finish_reason"] == "cancelled" or end["tokens"] != len(progress.texts):
        # The engine ended the stream early; the output received is incomplete.
        return Result(Outcome.NOT_RUN)
    return _make_success(request_id, body, progress, end)


def _make_success(request_id, body, progress, end):
    text = "".join(progress.texts)
    answer = completion.make_chat_body(
        request_id, body, text, end["finish_reason"], end["tokens"]
    )
    response = {"status_code": 200, "request_id": request_id, "body": answer}
    return Result(
        Outcome.DONE,
        "succeeded",
        {"custom_id": body["custom_id"], "response": response, "error": None},
    )


def _classify_refusal(body, refusal):
    if refusal.status in NON_RETRYABLE_STATUSES:
        return Result(Outcome.DONE, "failed", make_failure(body, refusal), refusal)
    if refusal.verdict is verdict.Verdict.NOT_RUN or refusal.code in STOP_CODES:
        return Result(Outcome.NOT_RUN, refusal=refusal)
    return Result(Outcome.TARGET_FAILED, refusal=refusal)


def make_failure(body, refusal):
    """Return the result body of an item that failed."""
    return {
        "custom_id": body["custom_id"],
        "response": None,
        "error": refusal.to_dict()["error"],
    }
