import pytest

from pimentowick.gateway import history, loss


def make_line(event, at=1.0, process="front-1", **fields):
    return history.Line(process, {"time": at, "event": event, "id": "x", **fields})


def make_sent(**fields):
    data = {"attempt": 1, "target": "t", "online": 1, "batch": 0, "slots": 8}
    return make_line("online.sent", **{**data, "waited_s": 0.0, **fields})


def make_ended(**fields):
    data = {"kind": "stream", "outcome": "answered", "status": 200, "in_time": False}
    return make_line("online.ended", 2.0, **{**data, "first_s": 0.5, **fields})


@pytest.mark.parametrize(
    ("id_lines", "cause"),
    [
        ([make_sent(), make_ended(in_time=True)], ""),
        ([make_sent(), make_ended()], "late: slow at a target with free slots"),
        ([make_sent(batch=7), make_ended()], "late: sent to a full target"),
        ([make_sent(waited_s=0.4), make_ended()], "late: waited for a slot"),
        (
            [make_sent(), make_sent(attempt=2), make_ended()],
            "late: its first target failed",
        ),
        ([make_ended(outcome="no_place", status=503)], "no_place, status 503"),
        ([make_sent()], "its gateway terminated"),
        ([make_line("online.left", kind="stream")], "its caller disconnected"),
        ([make_line("caller.refused", outcome="not_ready")], "refused: not_ready"),
    ],
)
def test_online_request_counts_under_one_cause(id_lines, cause):
    assert loss.explain_online(id_lines)[1] == cause


def make_ran(due_in_s, outcome="answered", process="front-1"):
    return make_line("item.ran", 9.0, process, outcome=outcome, due_in_s=due_in_s)


ITEM_SENT = make_line("item.sent", due_in_s=9.0)
PREEMPTED = make_line("item.preempted", 2.0)


@pytest.mark.parametrize(
    ("id_lines", "cause"),
    [
        ([ITEM_SENT, make_ran(1.0)], ""),
        ([ITEM_SENT, make_ran(-1.0)], "late: waited for a slot"),
        (
            [ITEM_SENT, PREEMPTED, ITEM_SENT, make_ran(-1.0)],
            "late: it was preempted by online requests",
        ),
        (
            [ITEM_SENT, ITEM_SENT, make_ran(-1.0)],
            "late: its gateway terminated or lost its partition",
        ),
        (
            [ITEM_SENT, PREEMPTED, ITEM_SENT, make_ran(-1.0, process="front-2")],
            "late: its partition was reassigned to another gateway",
        ),
        (
            [ITEM_SENT, make_ran(4.0, "cut"), ITEM_SENT, make_ran(-1.0)],
            "late: a run failed",
        ),
        (
            [make_line("item.sent", due_in_s=-1.0), make_ran(-4.0)],
            "late: it started after it was due",
        ),
        ([ITEM_SENT], "not completed by the end of the log"),
        ([make_line("item.given_up", outcome="failed")], "given up: failed"),
    ],
)
def test_item_counts_under_one_cause(id_lines, cause):
    assert loss.explain_item(id_lines) == cause


def test_counts_by_cause_add_up_to_all_misses():
    # Each request must count exactly once, or the largest cause would be wrong.
    lines = []
    for number, ended in enumerate(
        [
            make_ended(in_time=True),
            make_ended(),
            make_ended(),
            make_ended(outcome="timeout", status=504),
        ]
    ):
        for line in (make_sent(), ended):
            data = {**line.data, "id": f"r{number}"}
            lines.append(history.Line("front-1", data))
    misses = loss.count_misses(lines)
    assert [(miss.count, miss.total) for miss in misses] == [(2, 4), (1, 4)]
    assert loss.format_misses(misses)[0] == "missed deadlines, stream: 3 of 4"
