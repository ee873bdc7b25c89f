import math

import orjson

from benchmarks import paired_plays


def write_journal_entry(directory, name, days):
    directory.mkdir(exist_ok=True)
    rows = [
        {
            "name": day,
            "seed": seed,
            "G": worth,
            "rules": rules,
            "parts": [["whole day", 0.7, worth]],
            "prices": [["cloud calls", 10.0, 0.01]],
            "by_class": [worth, None],
        }
        for day, seed, worth, rules in days
    ]
    data = {"site": "stands", "days": rows}
    (directory / f"{name}.json").write_bytes(orjson.dumps(data))


def test_days_of_one_seed_make_a_pair(tmp_path):
    write_journal_entry(tmp_path / "old", "1", [("a", 1, 0.8, {}), ("b", 1, 0.7, {})])
    write_journal_entry(tmp_path / "new", "1", [("a", 1, 0.85, {}), ("b", 2, 0.1, {})])
    old, new = (paired_plays.read_plays(tmp_path / name) for name in ("old", "new"))
    comparison = paired_plays.compare(old, new)
    assert comparison.pairs == 1
    assert math.isclose(comparison.worth, 0.05)
    assert math.isinf(comparison.error) and not comparison.is_clear
    assert math.isclose(comparison.parts["whole day"], 0.05)
    assert comparison.prices["cloud calls"] == 0.0


def test_newest_play_of_a_day_is_used_and_older_entries_can_be_skipped(tmp_path):
    write_journal_entry(tmp_path, "1", [("a", 1, 0.1, {})])
    write_journal_entry(tmp_path, "2", [("a", 1, 0.9, {})])
    (play,) = paired_plays.read_plays(tmp_path).values()
    assert play.worth == 0.9
    assert not paired_plays.read_plays(tmp_path, since="3")


def test_entries_without_days_are_skipped(tmp_path):
    (tmp_path / "1.json").write_bytes(b'{"site": "stands", "days": null}')
    (tmp_path / "2.json").write_bytes(b'{"cmd": "build"}')
    assert paired_plays.read_plays(tmp_path) == {}


def test_difference_beyond_twice_its_error_is_clear(tmp_path):
    days = [("a", seed, 0.8, {}) for seed in range(4)]
    write_journal_entry(tmp_path / "old", "1", days)
    write_journal_entry(
        tmp_path / "new", "1", [(d, s, w + 0.1 + s / 1000, {}) for d, s, w, _ in days]
    )
    old, new = (paired_plays.read_plays(tmp_path / name) for name in ("old", "new"))
    assert paired_plays.compare(old, new).is_clear
    table = paired_plays.make_table({"old": old, "new": new})
    assert "4 pairs, clear" in table


def test_days_that_broke_rules_are_marked(tmp_path):
    write_journal_entry(tmp_path, "1", [("a", 1, 0.8, {"LOST": 1})])
    plays = paired_plays.read_plays(tmp_path)
    assert "0.800!" in paired_plays.make_table({"one": plays})
