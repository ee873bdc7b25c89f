import random

from pimentowick.placement import claim


def apply_all(records, first=0):
    claims = claim.ClaimStateMachine()
    for offset, record in enumerate(records[first:], first):
        claims.apply(offset, record)
    return claims


def test_the_newest_claim_is_in_force():
    claims = apply_all([claim.make_claim("a"), claim.make_claim("b")])
    assert (claims.owner, claims.fence) == ("b", 2)


def test_an_owner_that_was_frozen_can_not_renew_its_claim():
    """A controller is suspended, another one claims, and the first one resumes. If its
    renewal took effect, both would send orders."""
    records = [claim.make_claim("a"), claim.make_claim("b"), claim.make_renew("a", 1)]
    assert apply_all(records).owner == "b"


def test_a_forged_fencing_token_is_void():
    """A faulty process writes a renewal with a huge fencing token. If it took effect,
    no valid claim could follow."""
    records = [claim.make_claim("a"), claim.make_renew("x", 10**6)]
    records += [{"type": "renew", "owner": "x", "fence": None}, {"type": "claim"}]
    assert apply_all(records).owner == "a"


def test_readers_agree_without_the_old_records():
    """The log drops old records. An entry that starts afterwards must determine the
    same leader and fencing token as the others, or two controllers would be active."""
    rng = random.Random(3)
    for _ in range(300):
        records, claims = [], claim.ClaimStateMachine()
        for offset in range(40):
            owner = rng.choice("abc")
            renew = claim.make_renew(owner, rng.randint(1, max(1, claims.fence)))
            records.append(claim.make_claim(owner) if rng.random() < 0.2 else renew)
            claims.apply(offset, records[-1])
        records.append(claim.make_renew(claims.owner, claims.fence))
        whole = apply_all(records)
        for first in range(len(records)):
            late = apply_all(records, first)
            assert (late.fence, late.owner) == (whole.fence, whole.owner)


def test_a_loaded_dump_is_the_same():
    claims = apply_all(
        [claim.make_claim("a"), claim.make_release(1), claim.make_claim("b")]
    )
    other = claim.ClaimStateMachine()
    other.load(claims.dump())
    assert (other.fence, other.owner, other.owner_offset) == (3, "b", 2)
