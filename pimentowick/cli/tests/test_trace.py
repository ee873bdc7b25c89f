import pathlib
import re

import pytest
from cleo.io.inputs import argv_input
from cleo.io.outputs import buffered_output

from pimentowick.cli import application
from pimentowick.gateway import history

ROOT = pathlib.Path(__file__).parents[3]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
DOCUMENTED_TRACES = re.findall(
    r"```text\n\$ (pimentowick trace .*)\n((?:.*\n)*?)```", PAGE
)


def run_command(words):
    streams = [buffered_output.BufferedOutput() for _ in range(2)]
    code = application.run_command(argv_input.ArgvInput(words), *streams)
    return code, streams[0].fetch()


def write_log(directory, name, *rows):
    path = directory / f"{name}.log"
    path.write_text("\n".join(rows))
    return str(path)


@pytest.mark.parametrize(("command", "printed"), DOCUMENTED_TRACES)
def test_trace_prints_the_examples_of_the_operations_page(
    command, printed, monkeypatch
):
    monkeypatch.chdir(ROOT)
    code, output = run_command(command.split())
    assert code == 0
    assert output.rstrip() == printed.rstrip()


def test_operations_page_has_three_trace_examples():
    assert len(DOCUMENTED_TRACES) == 3


def test_lines_of_several_processes_are_put_in_order(tmp_path):
    # An item is preempted at one gateway and finishes at another, so its history is
    # spread over two logs.
    first = write_log(
        tmp_path,
        "front-1",
        '{"time":10.0,"event":"item.preempted","id":"i1","target":"t1","events":5}',
        "Traceback (most recent call last):",
        '{"time":9.5,"event":"ownership.changed","parts":[]}',
    )
    second = write_log(
        tmp_path,
        "front-2",
        '{"time":12.0,"event":"item.ran","id":"i1","job":"j","outcome":"answered"}',
        '{"time":11.0,"event":"target.paused","target":"other","why":"closed"}',
        '12.5 front-9 {"time":99.0,"event":"gateway.stopped"}',
    )
    lines, other_count = history.read_lines([second, first])
    assert other_count == 1
    id_lines, context_lines = history.find_related(lines, "i1")
    assert [line.process for line in id_lines] == ["front-1", "front-2"]
    assert [line.event for line in context_lines] == ["ownership.changed"]
    assert "at 2 gateways" in history.explain(id_lines, context_lines)
    assert history.find_related(lines, "j")[0] == id_lines[1:]
    assert lines[-1].process == "front-9"


def make_online_line(outcome, status, **fields):
    data = {
        "time": 1.0,
        "event": "online.ended",
        "id": "r",
        "outcome": outcome,
        "status": status,
        "target": "t1",
        "service": "s",
        "runs": 1,
        "refusals": 0,
        "events": 0,
        "took_s": 0.5,
        "free": 0,
        "places": 8,
        "waiting": 3,
        **fields,
    }
    return history.Line("p", data)


@pytest.mark.parametrize(
    ("line", "words"),
    [
        (make_online_line("no_place", 503), "refused after 0.500 s without having run"),
        (make_online_line("timeout", 504), "timed out after 0.500 s at target t1"),
        (
            make_online_line("closed", 502),
            "response was lost (closed); it may have run",
        ),
        (
            make_online_line("answered", 200, waited_s=0.1, first_s=0.3),
            "waited 0.100 s for a slot and 0.200 s for the first event",
        ),
    ],
)
def test_explanation_states_outcome_and_durations(line, words):
    assert words in history.explain([line], [])


def test_trace_explains_a_request_of_a_killed_gateway(tmp_path):
    # A gateway is killed while a target processes a request, so the log has no
    # `online.ended` line for it.
    path = write_log(
        tmp_path,
        "front-1",
        '{"time":10.0,"event":"online.sent","id":"r","target":"t1","online":2,'
        '"batch":3,"slots":8}',
        '{"time":12.5,"event":"gateway.started","host":"front-1"}',
    )
    code, output = run_command(["pimentowick", "trace", "r", path])
    assert code == 0
    assert "Gateway front-1 terminated while it was at target t1" in output
    assert "may have run" in output
    assert "2.500 s later" in output


def test_trace_explains_a_refusal_by_a_gateway_that_is_not_ready(tmp_path):
    # After a power failure the gateway receives requests before it has read the
    # configuration.
    path = write_log(
        tmp_path,
        "front-1",
        '{"time":10.0,"event":"gateway.started","host":"front-1"}',
        '{"time":10.2,"event":"caller.refused","id":"r","outcome":"not_ready",'
        '"status":503}',
    )
    code, output = run_command(["pimentowick", "trace", "r", path])
    assert code == 0
    assert "refused with 503 without having run" in output
    assert "had not read a configuration yet" in output
    assert "started 0.200 s before" in output
    assert "job" not in output


def test_trace_explains_a_refusal_for_want_of_memory(tmp_path):
    # Guards against a refused body whose cause no operator can find.
    path = write_log(
        tmp_path,
        "front-1",
        '{"time":10.2,"event":"caller.no_memory","id":"r","outcome":"no_memory",'
        '"caller":"10.0.0.7","body_bytes":4000000,"held_bytes":40000000,'
        '"held_for_caller":8000000,"capacity_bytes":47000000,"retry_after_s":0.5}',
    )
    code, output = run_command(["pimentowick", "trace", "r", path])
    assert code == 0
    assert "gateway front-1 had no memory for its body" in output
    assert "40000000 of 47000000 bytes held, 8000000 of them for this caller" in output


def test_trace_explains_a_quarantined_request(tmp_path):
    # It ends with 503 although slots are free; its attempts share only a fingerprint.
    fields = '"fingerprint":"f1","crashed":["t1","t2"],"trials":1,"retry_after_s":4.0'
    paths = [
        write_log(
            tmp_path,
            "front-1",
            '{"time":10.0,"event":"online.lost","id":"r1","target":"t1",'
            '"fingerprint":"f1"}',
            '{"time":10.1,"event":"online.ended","id":"r1","outcome":"closed",'
            '"status":502,"target":"t1","runs":1}',
        ),
        write_log(
            tmp_path,
            "front-2",
            '{"time":11.0,"event":"quarantine.trial","id":"r2","fingerprint":"f1"}',
            '{"time":11.1,"event":"online.lost","id":"r2","target":"t2",'
            '"fingerprint":"f1"}',
            '{"time":12.0,"event":"online.ended","id":"r3","outcome":"quarantined",'
            f'"status":503,"took_s":0.001,{fields}}}',
        ),
    ]
    code, output = run_command(["pimentowick", "trace", "r3", *paths])
    assert code == 0
    assert "without having run: targets t1, t2 crashed under this request" in output
    assert "Trace fingerprint f1" in output
    code, output = run_command(["pimentowick", "trace", "f1", *paths])
    assert code == 0
    assert "online.lost  id=r2 target=t2" in output
    assert "2 targets broke off 2 runs of this request, sent by 2 gateways" in output
    assert "1 attempts were refused without having run" in output


def test_trace_explains_a_part_of_prompts_that_crashes_targets(tmp_path):
    # The requests have nothing in common but the part.
    fields = (
        '"fingerprint":"f9","quarantined":["part-5c1e@lm"],"crashed":["t1","t2"],'
        '"trials":1,"retry_after_s":4.0'
    )
    path = write_log(
        tmp_path,
        "front-1",
        '{"time":10.0,"event":"online.lost","id":"r1","target":"t1",'
        '"fingerprint":"f1","parts":["a0","5c1e"]}',
        '{"time":10.2,"event":"online.lost","id":"r2","target":"t2",'
        '"fingerprint":"f2","parts":["5c1e"]}',
        '{"time":11.0,"event":"quarantine.trial","id":"r2",'
        '"fingerprint":"part-5c1e@lm"}',
        '{"time":12.0,"event":"online.ended","id":"r3","outcome":"quarantined",'
        f'"status":503,"took_s":0.001,{fields}}}',
    )
    code, output = run_command(["pimentowick", "trace", "r3", path])
    assert code == 0
    assert "Trace part-5c1e@lm for all such attempts" in output
    code, output = run_command(["pimentowick", "trace", "part-5c1e@lm", path])
    assert code == 0
    assert "2 targets broke off 2 runs of requests with this part" in output
    assert "1 runs were trials, and 1 attempts were refused" in output


def test_trace_explains_a_stream_that_can_not_go_on(tmp_path):
    path = write_log(
        tmp_path,
        "front-1",
        '{"time":10.0,"event":"stream.origin","id":"r1","key":"k","version":null,'
        '"asked":3,"took_s":0.01}',
        '{"time":10.0,"event":"online.ended","id":"r1","outcome":"stream_unknown",'
        '"status":503,"took_s":0.011}',
    )
    code, output = run_command(["pimentowick", "trace", "r1", path])
    assert code == 0
    assert "no gateway that was asked knows which software version" in output


def test_unknown_id_and_missing_file_are_reported(tmp_path):
    path = write_log(tmp_path, "a", '{"time":1.0,"event":"gateway.started"}')
    code, output = run_command(["pimentowick", "trace", "nobody", path])
    assert code == 0
    assert "none of these processes received it" in output
    code, _ = run_command(["pimentowick", "trace", "x", str(tmp_path / "none")])
    assert code == 2


def test_day_is_summarised(tmp_path):
    path = write_log(
        tmp_path,
        "a",
        '{"time":1.0,"event":"feed.lost","topic":"k"}',
        '{"time":2.0,"event":"feed.regained","topic":"k","lost_s":1.0}',
        '{"time":2.0,"event":"online.ended","id":"r","outcome":"no_place",'
        '"status":503,"took_s":0.1}',
        "no decision",
    )
    code, output = run_command(["pimentowick", "day", "show", path])
    assert code == 0
    assert "no_place 1" in output
    assert "1 other lines" in output
    assert "lost_s=1.0" in output
    empty = write_log(tmp_path, "empty")
    assert run_command(["pimentowick", "day", "show", empty])[1].strip() == (
        "no decisions"
    )
