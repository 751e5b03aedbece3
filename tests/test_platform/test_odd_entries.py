"""Odd values of the platform's answers and calls cost only what they belong to."""

import json

import pytest

from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform.configuration import (
    decode_configuration,
    decode_new_configuration,
)
from berylnotch.platform.fields import FieldError
from berylnotch.platform.moves import decode_move
from berylnotch.platform.operators import decode_weights_name
from berylnotch.platform.requests import decode_request
from berylnotch.platform.stores import decode_state
from berylnotch.platform.targets import decode_page, decode_report
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.transport.packing import pack
from tests.fleet.processes import configuration
from tests.test_platform.test_targets import VALID_ENTRY

HUGE = 10**30
DIGITS = "9" * 5000
DEEP = "[" * 100_000 + "]" * 100_000


def _response(text):
    body = text if isinstance(text, bytes) else text.encode()
    return HttpResponse(200, Headers(), body)


def _entry(**changes):
    return json.dumps({**VALID_ENTRY, "id": "odd", **changes})


def _decode_beside_sound(odd):
    sound = json.dumps(VALID_ENTRY).encode()
    odd = odd if isinstance(odd, bytes) else odd.encode()
    body = b'{"instances":[%s,%s,%s],"nextToken":"p-2"}' % (sound, odd, sound)
    return decode_page(_response(body))


def _is_skipped(odd):
    try:
        page = _decode_beside_sound(odd)
    except Exception:
        return False
    ids = [target.target_id for target in page.targets]
    return (ids, page.next_page, page.skipped) == (["i-1", "i-1"], "p-2", 1)


def _taken(entries):
    """Return the first characters of the entries that are not skipped alone."""
    return [ascii(entry)[:120] for entry in entries if not _is_skipped(entry)]


def _accepted(decode, bodies):
    """Return the first characters of the bodies that raise no `FieldError`."""
    accepted = []
    for body in bodies:
        try:
            decode(_response(body))
        except FieldError:
            continue
        accepted.append(ascii(body)[:80])
    return accepted


UNDECODABLE_ENTRIES = [
    DEEP,
    '{"a":' * 100_000 + "0" + "}" * 100_000,
    _entry(x=0).replace('"x": 0', f'"x": {DEEP}'),
    _entry(x=0).replace('"x": 0', f'"x": {DIGITS}'),
    _entry(slots=77).replace("77", DIGITS),
    _entry(slots=77).replace("77", "077"),
    _entry(id="a b").replace("a b", "a\nb"),
    "nothing",
    '{"id":"\\u12"}',
    '{"id":"]}[{\\"]}"}',
    _entry(x="y" * 3_000_000),
    _entry(models=[{"name": "m", "version": 1}] * 100_000),
]


def test_undecodable_entry_hides_no_other_entry_and_no_later_page():
    assert _taken(UNDECODABLE_ENTRIES) == []


def test_target_with_an_odd_port_is_skipped():
    ports = [DIGITS, "0", "٣", "²", "-1", "+80", " 80", "70000", ""]
    assert _taken(_entry(address=f"10.0.0.1:{port}") for port in ports) == []


def test_target_with_an_address_that_cannot_be_reached_is_skipped():
    hosts = ["0.0.0.0", "224.0.0.1", "255.255.255.255", "١.1.1.1", "", "a\r\nb"]
    assert _taken(_entry(address=f"{host}:80") for host in hosts) == []


def test_target_with_a_number_out_of_range_is_skipped():
    numbers = [HUGE, -1, float("nan"), float("inf"), 1e300, True]
    models = [[{"name": "m", "version": number}] for number in numbers]
    assert _taken(_entry(slots=number) for number in numbers) == []
    assert _taken(_entry(born=number) for number in numbers) == []
    assert _taken(_entry(models=model) for model in models) == []


def test_target_with_text_unfit_for_headers_and_logs_is_skipped():
    texts = ["", "a\r\nb", "a\x00b", "\ud800", "x" * 1000, "a\u2028b"]
    for field in ("id", "service", "zone"):
        assert _taken(_entry(**{field: text}) for text in texts) == []
    models = [[{"name": text, "version": 1}] for text in texts]
    assert _taken(_entry(models=model) for model in models) == []


def test_target_whose_id_no_header_can_carry_is_skipped():
    not_utf8 = _entry(id="odd-7").encode().replace(b"odd-7", b"\xff\xfe")
    ids = ["i-中", "i-é", "i 1", " i"]
    assert _taken([*(_entry(id=target_id) for target_id in ids), not_utf8]) == []


def test_target_whose_id_could_be_the_address_of_a_store_is_skipped():
    assert _taken([_entry(id="10.0.0.1:80")]) == []


def test_repeated_names_in_an_entry_do_not_spoil_the_page():
    assert _decode_beside_sound(_entry()[:-1] + ',"id":"i-2"}').next_page == "p-2"


def test_service_in_another_script_is_decoded():
    assert _decode_beside_sound(_entry(service="поиск")).skipped == 0


@pytest.mark.parametrize(
    "body",
    [
        '{"instances":[',
        '{"instances":[]',
        '{"instances":[]} {}',
        '{"instances":[{]}}',
        '{"instances":[] "nextToken":null}',
        '{"instances":[1 2]}',
        '{"instances":{}}',
        '{"nextToken":null}',
        "[]",
        "",
        '{"instances":["',
        f'{{"instances":[],"nextToken":{DIGITS}}}',
    ],
)
def test_page_that_is_no_list_is_refused(body):
    with pytest.raises(FieldError):
        decode_page(_response(body))


def test_empty_page_and_spaces_between_tokens_are_decoded():
    page = decode_page(_response('\n{ "nextToken" : "p" ,\t"instances" : [ ] } '))
    assert page.targets == () and page.next_page == "p"


def test_odd_report_is_refused():
    bodies = [
        f'{{"x":{DEEP}}}',
        f'{{"seqNo":{DIGITS}}}',
        '{"seqNo":NaN}',
        f'{{"seqNo":{HUGE}}}',
        '{"seqNo":-1}',
        f'{{"born":{HUGE}}}',
        '{"born":-1}',
        f'{{"models":[{{"name":"m","version":{HUGE}}}]}}',
        '{"models":[{"name":"m","version":-1}]}',
        '{"models":[{"name":"\\ud800","version":1}]}',
        '{"id":"a\\r\\nb"}',
        '{"id":"\\ud800"}',
    ]
    assert _accepted(decode_report, bodies) == []


def test_odd_state_of_a_store_is_refused():
    bodies = [
        f'{{"x":{DEEP}}}',
        f'{{"bootEpoch":1,"nextToken":{DIGITS}}}',
        f'{{"bootEpoch":1,"nextToken":{HUGE}}}',
        '{"bootEpoch":1,"nextToken":-1}',
        f'{{"bootEpoch":{HUGE},"nextToken":1}}',
    ]
    assert _accepted(decode_state, bodies) == []


def test_odd_events_of_a_store_do_not_hide_its_state():
    body = f'{{"bootEpoch":1,"nextToken":2,"events":[7,null,[{HUGE}],"\\ud800"]}}'
    assert decode_state(_response(body)).position == 2


def test_handle_that_no_header_can_carry_is_refused():
    handles = ["", "a\r\nb", "\ud800", "中", "x" * 1000]
    bodies = [json.dumps({"handle": handle}) for handle in handles]
    assert _accepted(decode_move, bodies) == []


def test_odd_weights_announcement_is_refused():
    bodies = [
        f'{{"model":"m","version":1,"x":{DEEP}}}',
        f'{{"model":"m","version":{DIGITS}}}',
        f'{{"model":"m","version":{HUGE}}}',
        '{"model":"m","version":1e400}',
        '{"model":"\\ud800","version":1}',
        '{"model":"a\\r\\nb","version":1}',
        '{"model":"","version":1}',
    ]
    assert _accepted(decode_weights_name, bodies) == []


def test_odd_configuration_is_refused_with_a_reason():
    changes = [
        ('"version": 7', f'"version": {HUGE}'),
        ('"version": 7', f'"version": {DIGITS}'),
        ('"version": 7', f'"version": 7, "x": {DEEP}'),
        ('"timeoutMs": 4321', f'"timeoutMs": 1{"0" * 400}'),
        ('"timeoutMs": 4321', '"timeoutMs": 1e400'),
        ('"timeoutMs": 4321', f'"timeoutMs": {HUGE}'),
        ('"name": "alpha"', '"name": "\\ud800"'),
        ('"name": "alpha"', '"name": "a\\r\\nb"'),
        ('"name": "alpha"', '"name": "\\u4e2d"'),
        ('"name": "alpha"', '"name": ""'),
        ('"pathPrefix": "/chat/"', '"pathPrefix": "/a\\nb/"'),
        ('"name": "llm"', '"name": "llm", "kvStoreAddr": "nowhere"'),
    ]
    text = json.dumps(configuration(7, timeoutMs=4321))
    decode_new_configuration(text.encode())
    accepted = []
    for old, new in changes:
        assert old in text
        try:
            decode_new_configuration(text.replace(old, new).encode())
        except InvalidConfigurationError:
            continue
        accepted.append(new[:40])
    assert accepted == []


def test_held_configuration_with_odd_texts_still_serves():
    text = json.dumps(configuration(7)).replace('"alpha"', '"\\u4e2d"')
    assert decode_configuration(text.encode()).version == 7


@pytest.mark.parametrize(
    "value", [DIGITS, "٣".encode().decode("latin-1"), "²", "nan", "inf", "-1", "1e400"]
)
def test_odd_numbers_in_headers_of_callers_are_ignored(value):
    names = "Berylnotch-Deadline-Ms", "Last-Event-Id", "Berylnotch-Token-Count"
    headers = Headers([(name, value) for name in names])
    request = decode_request(HttpRequest("GET", "/", headers))
    assert request.deadline_s is None and request.resume_after is None
    assert request.tokens == 0


def test_largest_numbers_of_a_target_fit_into_messages_to_routers():
    changes = {"slots": 65535, "born": 2**63 - 1}
    models = [{"name": "m", "version": 2**63 - 1}]
    page = _decode_beside_sound(_entry(**changes, models=models))
    assert isinstance(page.targets[1], ListedTarget)
    assert page.targets[1].models == (ModelVersion("m", 2**63 - 1),)
    pack(page.targets[1])
