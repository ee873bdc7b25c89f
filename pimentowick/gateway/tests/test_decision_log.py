import orjson
import pytest

from pimentowick.gateway import decision_log


@pytest.mark.parametrize("value", [2**64, [2**70], {1: "a"}, "\ud800", {"a": "\udfff"}])
def test_line_with_a_value_that_json_lacks_is_written(value, monkeypatch):
    # Guards against a request that is answered 500 because of what is logged about it.
    lines = []
    monkeypatch.setattr(
        decision_log.logger, "bind", lambda line: lines.append(line) or Discarded()
    )
    decision_log.log_request_event("batch.accepted", "job", tokens=value, items=3)
    (line,) = lines
    data = orjson.loads(line)
    assert (data["event"], data["id"], data["items"]) == ("batch.accepted", "job", 3)
    assert data["tokens"]


class Discarded:
    """Takes the line that was bound to it."""

    def log(self, level, text):
        """Discard it."""
