import pytest

from pimentowick.gateway.policy import slow_reader

IDLE_S = 15.0


def make_reader(key, stalled_s=0.0, behind_s=10.0, read_bytes=1000):
    return slow_reader.Reader(key, 10, stalled_s, behind_s, read_bytes)


@pytest.mark.parametrize("is_full", [False, True])
def test_caller_that_reads_steadily_is_ended_only_for_want_of_memory(is_full):
    # Guards against ending slow callers for whom there is memory.
    readers = [make_reader("slow", 2.0, read_bytes=10), make_reader("fast")]
    ended = slow_reader.choose_readers_to_end(readers, IDLE_S, is_full)
    assert ended == (["slow"] if is_full else [])


def test_caller_that_fell_behind_just_now_is_not_judged():
    # Guards against ending a caller on a slow link for a few lost packets.
    readers = [make_reader("new", behind_s=1.0, read_bytes=0)]
    assert not slow_reader.choose_readers_to_end(readers, IDLE_S, is_full=True)


def test_callers_that_read_nothing_are_ended_before_slow_ones():
    # Guards against ending one who reads while one who does not holds the memory.
    readers = [make_reader("gone", IDLE_S, read_bytes=10**6), make_reader("slow")]
    assert slow_reader.choose_readers_to_end(readers, IDLE_S, True) == ["gone"]
