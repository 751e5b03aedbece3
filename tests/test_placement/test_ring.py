"""Consistent-hash ring that orders targets equally at all routers."""

from collections import Counter

from berylnotch.placement.ring import Ring


def ring(names):
    return Ring([(name, name) for name in names])


def test_order_holds_each_target_once_and_is_equal_at_all_routers():
    names = [f"e{n}" for n in range(30)]
    order = list(ring(names).walk("prompt"))
    assert sorted(order) == sorted(names)
    assert order == list(ring(reversed(names)).walk("prompt"))
    assert list(ring([]).walk("prompt")) == []


def test_keys_spread_over_all_targets():
    hash_ring = ring([f"e{n}" for n in range(40)])
    homes = Counter(next(hash_ring.walk(f"p{n}")) for n in range(4000))
    assert len(homes) == 40
    assert max(homes.values()) < 3 * 4000 / 40


def test_loss_of_a_target_reassigns_only_its_own_keys():
    names = [f"e{n}" for n in range(20)]
    before, after = ring(names), ring(names[1:])
    for number in range(500):
        home = next(before.walk(f"p{number}"))
        if home != "e0":
            assert next(after.walk(f"p{number}")) == home
