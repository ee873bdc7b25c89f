import random

from pimentowick.placement import plan


def make_engines(*models, slots=1):
    return [
        plan.EngineState(
            f"agent-{i}", f"domain-{i % 2}", set(each.split()), slots=slots
        )
        for i, each in enumerate(models)
    ]


def list_changes(desired, engines, max_changes=9):
    changes = plan.make_plan(desired, engines, max_changes)
    return [(change.agent, change.action, change.name) for change in changes]


def test_replicas_are_spread_over_failure_domains():
    engines = make_engines("", "", "", "")
    changes = list_changes([plan.DesiredModel("m", replicas=2)], engines)
    assert {agent for agent, _, _ in changes} == {"agent-0", "agent-1"}


def test_loads_are_paced():
    engines = make_engines("", "", "", "")
    assert (
        len(list_changes([plan.DesiredModel("m", replicas=4)], engines, max_changes=2))
        == 2
    )


def test_a_free_slot_is_used_before_anything_is_unloaded():
    engines = make_engines("a", "a", slots=2)
    changes = list_changes([plan.DesiredModel("a"), plan.DesiredModel("b")], engines)
    assert [action for _, action, _ in changes] == ["load"]


def test_the_last_replica_stays():
    engines = make_engines("a", "b")
    desired = [plan.DesiredModel("a"), plan.DesiredModel("b"), plan.DesiredModel("c")]
    assert list_changes(desired, engines) == []


def test_a_replica_that_is_only_probable_does_not_let_another_go():
    """An agent has just restarted, and an older controller may still unload its model.
    It must not count as the replica that lets another one be unloaded."""
    engines = make_engines("a", "")
    engines[1].probable_models, engines[1].busy = {"a"}, True
    assert list_changes([plan.DesiredModel("a"), plan.DesiredModel("b")], engines) == []


def test_a_probable_replica_is_not_loaded_again_elsewhere():
    engines = make_engines("", "")
    engines[1].probable_models, engines[1].busy = {"a"}, True
    assert list_changes([plan.DesiredModel("a")], engines) == []


def test_a_new_version_comes_one_replica_at_a_time():
    engines = make_engines("a", "a")
    desired = [plan.DesiredModel("a", "2", replicas=2)]
    assert list_changes(desired, engines) == [("agent-0", "load", "a")]
    assert list_changes(desired, engines) == []


def test_the_only_replica_is_not_replaced_in_place():
    """A new version is desired of a model that one engine holds. Loading it in place
    would leave the model without a replica during the load."""
    desired = [plan.DesiredModel("a", "2")]
    engines = make_engines("a")
    assert list_changes(desired, engines) == []
    # With a second engine, the new version is loaded there first.
    engines = make_engines("a", "")
    assert list_changes(desired, engines) == [("agent-1", "load", "a")]


def test_adapters_follow_their_model():
    engines = make_engines("a", "b")
    desired = [plan.DesiredModel("a", adapters={"fine": "1"}), plan.DesiredModel("b")]
    assert list_changes(desired, engines) == [("agent-0", "load", "fine")]


def test_any_change_of_the_desired_state_leaves_every_model_a_replica():
    """The desired state changes at random while changes are in progress, and some loads
    fail. A desired model that is ready must stay ready on some engine."""
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
            for change in plan.make_plan(replicas, engines, 2):
                models = held[int(change.agent.removeprefix("agent-"))]
                if change.action == "unload":
                    models.discard(change.name)
                elif rng.random() < 0.8:
                    models.add(change.name)
                assert len(models) <= slots
            assert set().union(*held) == set(names)
