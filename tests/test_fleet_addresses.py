"""Fleets that run at the same time must not share addresses.

Addresses that follow from process ids and from addresses of objects in memory may be
the same for two fleets: processes of the later one cannot listen, or reach the earlier
one.
"""

import socket

import pytest

from tests.fleet.processes import _SUBNETS, _reserve_subnet


@pytest.fixture
def reserve():
    reservations = []

    def reserve_from(first):
        subnet, reservation = _reserve_subnet(first)
        reservations.append(reservation)
        return subnet, reservation

    yield reserve_from
    for reservation in reservations:
        reservation.close()


def test_fleets_that_search_from_the_same_position_get_different_subnets(reserve):
    subnets = [reserve(7)[0] for _ in range(5)]
    assert len(set(subnets)) == 5


def test_the_search_wraps_around(reserve):
    subnets = [reserve(len(_SUBNETS) - 1)[0] for _ in range(2)]
    assert set(subnets) <= set(_SUBNETS)
    assert subnets[0] != subnets[1]


def test_a_subnet_is_free_again_after_its_reservation(reserve):
    subnet, reservation = reserve(90)
    name = reservation.getsockname()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(name)
    reservation.close()
    with socket.socket() as other:
        other.bind(name)
    assert name[0].startswith(f"127.{subnet}.")
