"""Choice of the router addresses in an answer."""

from collections import Counter

from berylnotch.membership.answers import MAX_ADDRESSES, answer_addresses


def _routers(count):
    return [f"10.0.{n // 200}.{n % 200}:80" for n in range(count)]


def test_an_answer_contains_all_routers_of_a_small_fleet():
    routers = _routers(9)
    assert answer_addresses(routers[3], True, routers[:3] + routers[4:]) == sorted(
        routers
    )


def test_an_answer_does_not_contain_a_leaving_router():
    routers = _routers(9)
    assert routers[0] not in answer_addresses(routers[0], False, routers[1:])
    assert answer_addresses(routers[0], False, []) == []


def test_all_routers_of_a_large_fleet_get_callers():
    routers = _routers(300)
    answer_counts = Counter()
    for own in routers:
        answer = answer_addresses(own, True, [r for r in routers if r != own])
        assert len(answer) == MAX_ADDRESSES and own in answer
        answer_counts.update(answer)
    # Each router is in 64 answers on average. An even distribution stays between half
    # and one and a half times that number.
    assert set(answer_counts) == set(routers)
    assert min(answer_counts.values()) > MAX_ADDRESSES / 2
    assert max(answer_counts.values()) < MAX_ADDRESSES * 1.5
