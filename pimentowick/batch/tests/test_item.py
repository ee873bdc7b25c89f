import asyncio
import types

from pimentowick.batch import item
from pimentowick.routing import attempt

BODY = {
    "custom_id": "c",
    "model": "m",
    "adapter": None,
    "prompt": "p",
    "max_tokens": 4,
}
JOB = types.SimpleNamespace(id="job", workspace="a")


def run_at(monkeypatch, progress, version, frames):
    """Run one attempt; return how many tokens it resumed after."""
    sent = []

    async def read_frames(client, peer, message, idle_s):
        sent.append(message["generate"]["resume_tokens"])
        yield frames

    monkeypatch.setattr(attempt, "read_frames", read_frames)
    peer = types.SimpleNamespace(software_version=version, lease=1)
    asyncio.run(item.run_item(None, peer, "o", JOB, 0, BODY, progress, 1.0, 1.0))
    return sent[0]


def test_item_resumes_only_at_the_software_version_of_its_tokens(monkeypatch):
    # What another version writes does not fit what was generated before.
    progress = item.Progress()
    cut = [
        {"index": 0, "texts": ["a", "b"]},
        {"end": True, "finish_reason": "cancelled", "tokens": 2},
    ]
    assert run_at(monkeypatch, progress, "v1", cut) == 0
    assert run_at(monkeypatch, progress, "v1", [cut[1]]) == 2
    assert run_at(monkeypatch, progress, "v2", cut) == 0
    assert progress.texts == ["a", "b"]
