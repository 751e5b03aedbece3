"""Odd values of systems outside cost only the value that holds them."""

import json

import pytest

from berylnotch.gateways.cache_events import read_cache_events
from berylnotch.gateways.engine import completion_tokens, is_whole_answer
from berylnotch.gateways.errors import InvalidResponseError
from berylnotch.gateways.http import read_head
from berylnotch.gateways.load import read_load, to_report
from berylnotch.gateways.vmlist import read_vms
from berylnotch.gateways.weights import read_versions

DEEP = "[" * 100_000 + "]" * 100_000
DIGITS = "9" * 5000
SOUND_VM = {"name": "a", "address": "10.0.0.1", "state": "leaving"}


def test_odd_vm_hides_no_other_vm_of_the_list():
    odd_vms = ["5", DEEP, f'{{"x":{DEEP}}}', f'{{"x":{DIGITS}}}', "007", '"\\u12"']
    for change in ({"name": 5}, {"name": "a\r\nb"}, {"name": ""}, {"state": "odd"}):
        odd_vms.append(json.dumps({**SOUND_VM, **change}))
    sound = json.dumps(SOUND_VM)
    for odd in odd_vms:
        body = f'{{"vms":[{sound},{odd},{sound}]}}'.encode()
        assert [vm.name for vm in read_vms(200, body).vms] == ["a", "a"]


@pytest.mark.parametrize("body", ["{}", "[]", '{"vms":5}', '{"vms":[}', ""])
def test_body_that_is_no_vm_list_is_rejected(body):
    with pytest.raises(InvalidResponseError):
        read_vms(200, body.encode())


def test_load_with_numbers_or_text_out_of_range_is_rejected():
    values = [
        f'{{"running":{10**30}}}',
        f'{{"fence":{DIGITS}}}',
        '{"queue_wait_s":1e400}',
        '{"queue_wait_s":NaN}',
        f'{{"queue_wait_s":1{"0" * 400}}}',
        '{"weights":"\\ud800"}',
        '{"incarnation":"a\\r\\nb"}',
        f'{{"x":{DEEP}}}',
    ]
    for body in values:
        with pytest.raises(InvalidResponseError):
            read_load(200, body.encode())


def test_negative_load_makes_no_target_look_emptier_than_idle():
    load = read_load(200, b'{"running":-5,"queue_wait_s":-1,"age_s":-7}')
    report = to_report(load, 100.0)
    assert (report.running, report.queue_wait_s, report.measured_at) == (0, 0.0, 100.0)


@pytest.mark.parametrize("read", [read_cache_events, read_versions])
def test_nested_or_huge_values_are_rejected(read):
    for value in (DEEP, DIGITS):
        body = f'{{"versions":[],"events":[],"last":1,"x":{value}}}'.encode()
        with pytest.raises(InvalidResponseError):
            read(200, body)


def test_nested_answer_of_an_engine_is_not_whole():
    assert not is_whole_answer(DEEP.encode())
    assert not is_whole_answer(DIGITS.encode())


@pytest.mark.parametrize("count", [DEEP, DIGITS, "1e400", "NaN", "-5", str(10**30)])
def test_odd_count_of_tokens_is_not_charged(count):
    body = f'{{"usage":{{"completion_tokens":{count}}}}}'.encode()
    assert completion_tokens(body) == 0


def test_count_of_tokens_in_another_script_is_not_charged():
    body = '{"usage":{"completion_tokens":"٣"}}'.encode()
    assert completion_tokens(body) == 0


def test_retry_after_too_long_for_a_time_is_ignored():
    lines = [b"HTTP/1.1 503 Busy\r\n", b"Retry-After: %s\r\n" % DIGITS.encode()]
    assert read_head(lines, frozenset()).retry_after_s == 0
