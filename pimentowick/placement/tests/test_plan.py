import random

from pimentowick.placement import plan


def make_engines(*models, slots=1):
    return [
        plan.EngineState(
            f"agent-{i}", f"domain-{i % 2}", set(each.split()), slots=slots
        )
        for i, each in enumerate(models)
    ]


def list_moves(wanted, engines, loads=9):
    moves = plan.make_plan(wanted, engines, loads)
    return [(move.agent, move.action, move.name) for move in moves]


def test_replicas_are_spread_over_failure_domains():
    engines = make_engines("", "", "", "")
    moves = list_moves([plan.DesiredModel("m", replicas=2)], engines)
    assert {agent for agent, _, _ in moves} == {"agent-0", "agent-1"}


def test_loads_are_paced():
    engines = make_engines("", "", "", "")
    assert len(list_moves([plan.DesiredModel("m", replicas=4)], engines, loads=2)) == 2


def test_a_free_slot_is_used_before_anything_is_unloaded():
    engines = make_engines("a", "a", slots=2)
    moves = list_moves([plan.DesiredModel("a"), plan.DesiredModel("b")], engines)
    assert [action for _, action, _ in moves] == ["load"]


def test_the_last_replica_stays():
    engines = make_engines("a", "b")
    wanted = [plan.DesiredModel("a"), plan.DesiredModel("b"), plan.DesiredModel("c")]
    assert list_moves(wanted, engines) == []


def test_a_replica_that_is_only_probable_does_not_let_another_go():
    """An agent has just restarted, and an older decider could still unload there. If
    its replica counted, the other one would go and users would find none."""
    engines = make_engines("a", "")
    engines[1].probable_models, engines[1].busy = {"a"}, True
    assert list_moves([plan.DesiredModel("a"), plan.DesiredModel("b")], engines) == []


def test_a_probable_replica_is_not_loaded_again_elsewhere():
    engines = make_engines("", "")
    engines[1].probable_models, engines[1].busy = {"a"}, True
    assert list_moves([plan.DesiredModel("a")], engines) == []


def test_a_new_version_comes_one_replica_at_a_time():
    engines = make_engines("a", "a")
    wanted = [plan.DesiredModel("a", "2", replicas=2)]
    assert list_moves(wanted, engines) == [("agent-0", "load", "a")]
    assert list_moves(wanted, engines) == []


def test_the_only_replica_is_not_replaced_in_place():
    """The operator wants a new version of a model that one engine holds. If it were
    loaded over the old one, users would find none for the time of the load."""
    wanted = [plan.DesiredModel("a", "2")]
    engines = make_engines("a")
    assert list_moves(wanted, engines) == []
    # With a second engine the new version comes first, and the old one follows.
    engines = make_engines("a", "")
    assert list_moves(wanted, engines) == [("agent-1", "load", "a")]


def test_adapters_follow_their_model():
    engines = make_engines("a", "b")
    wanted = [plan.DesiredModel("a", adapters={"fine": "1"}), plan.DesiredModel("b")]
    assert list_moves(wanted, engines) == [("agent-0", "load", "fine")]


def test_any_change_of_wishes_leaves_every_wanted_model_a_replica():
    """Wishes change at random while moves are under way, and loads fail now and
    then. Whatever was ready and is still wanted must stay ready somewhere."""
    rng = random.Random(11)
    names = ["a", "b", "c", "d"]
    for slots in (1, 2):
        held = [{"a"}, {"a"}, {"b"}, {"c"}, {"d"}, {"a"}]
        for _ in range(1500):
            replicas = [
                plan.DesiredModel(name, "", rng.randint(1, 3)) for name in names
            ]
            engines = [
                plan.EngineState(f"agent-{i}", "x", set(models), slots=slots)
                for i, models in enumerate(held)
            ]
            for move in plan.make_plan(replicas, engines, 2):
                models = held[int(move.agent.removeprefix("agent-"))]
                if move.action == "unload":
                    models.discard(move.name)
                elif rng.random() < 0.8:
                    models.add(move.name)
                assert len(models) <= slots
            assert set().union(*held) == set(names)
