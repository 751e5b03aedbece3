from collections import Counter

from berylnotch.membership.answers import MAX_ADDRESSES, answer_addresses


def _routers(count):
    return [f"10.0.{n // 200}.{n % 200}:80" for n in range(count)]


def test_a_small_fleet_is_named_whole():
    routers = _routers(9)
    assert answer_addresses(routers[3], True, routers[:3] + routers[4:]) == sorted(
        routers
    )


def test_a_router_that_leaves_is_not_named():
    routers = _routers(9)
    assert routers[0] not in answer_addresses(routers[0], False, routers[1:])
    assert answer_addresses(routers[0], False, []) == []


def test_all_routers_of_a_large_fleet_get_callers():
    routers = _routers(300)
    named = Counter()
    for own in routers:
        answer = answer_addresses(own, True, [r for r in routers if r != own])
        assert len(answer) == MAX_ADDRESSES and own in answer
        named.update(answer)
    # 64 on average; a fair draw stays within half and one and a half of that.
    assert set(named) == set(routers)
    assert min(named.values()) > MAX_ADDRESSES / 2
    assert max(named.values()) < MAX_ADDRESSES * 1.5
