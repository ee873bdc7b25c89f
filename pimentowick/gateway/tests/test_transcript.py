from pimentowick.fakes import faults, wait
from pimentowick.gateway import event, job, record, transcript
from pimentowick.gateway.tests import writer


def run_with(check):
    async def begin(outside, writers):
        items = [job.Item("i", "/p", {}, b"body", 7)]
        bodies, made = record.make_job("j", "h", "/p/", 0.0, items, 1 << 20)
        await writers[0].ledger.commit(lambda view: [*bodies, made], 5)
        await check(outside, *[await open_transcript(each) for each in writers])

    writer.run_with(begin)


async def open_transcript(each):
    books = each.ledger.book.jobs
    await wait.wait_for(lambda: "j" in books, 5, 0.005)
    return transcript.Transcript(each.ledger, books["j"], 0)


def add(made, name, first, last):
    for number in range(first, last + 1):
        assert made.add(event.Event(b"", str(number), f"{name}{number}"))


def test_texts_of_two_runs_that_reach_the_same_event_are_not_joined():
    # Two entries run an item, since a lease has lapsed, and both record after the
    # same event. Joined to the other's piece, the text would be that of two runs: a
    # caller sees a sentence that goes on with another one.
    async def check(outside, one, other):
        add(one, "a", 1, 3)
        add(other, "b", 1, 3)
        await one.save(5)
        await other.save(5)
        add(other, "b", 4, 5)
        await other.finish(5)
        assert one.item.result is None
        other.sync()
        assert other.last_event == "3"
        add(other, "c", 4, 5)
        await other.finish(5)
        assert other.item.result.text.split("\n") == ["a1", "a2", "a3", "c4", "c5"]

    run_with(check)


def test_text_goes_on_after_a_piece_whose_answer_was_lost():
    async def check(outside, one, other):
        add(one, "a", 1, 2)
        outside.board.place(faults.Order("lose_answer", count=1, path="/-/log-append"))
        await one.save(5)
        add(one, "a", 3, 3)
        await one.finish(5)
        assert one.item.result.text == "a1\na2\na3"

    run_with(check)


def test_event_that_does_not_follow_is_not_taken():
    async def check(outside, one, other):
        add(one, "a", 1, 2)
        assert not one.add(event.Event(b"", "4", "a4"))
        assert not one.add(event.Event(b"", "odd", "a"))
        assert one.last_event == "2"

    run_with(check)


def test_item_without_all_of_its_body_is_known_as_such():
    # Run with a part of its body, an item would give the answer to something else.
    items = [job.Item(f"i{n}", "/p", {}, b"x" * 3000, 1) for n in range(2)]
    bodies, made = record.make_job("j", "h", "/p", 0.0, items, 2048)
    book = job.Book()
    for each in bodies[1:]:
        book.apply(each.key, each.value)
    book.apply(made.key, made.value)
    assert [item.is_whole for item in book.jobs["j"].items] == [False, True]
