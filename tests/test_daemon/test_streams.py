"""Streams through real routers while engines and routers fail.

The tests guard against missing, repeated or altered events, and against work at engines
that continues after its caller left or its key was withdrawn.
"""

from __future__ import annotations

import http.client
import json
import signal

import openai
import pytest

from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import LocalFleet, wait_for
from berylnotch.standins.generation import EventWriter, parse_generation
from berylnotch.standins.texts import DOMAINS

from .conftest import start_small

TOKENS = 12


def body(prompt, tokens=TOKENS):
    return {
        "model": "sake-1",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }


class ServingFleet:
    """A running fleet, and a key that its routers accept."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
        small_fleet = start_small(fleet)
        self.routers = [address for _, address in small_fleet.routers]
        self.engines = dict(small_fleet.engines)
        self.order_desk = small_fleet.plain[0][1]
        self.key = self.new_key().key

    def new_key(self):
        key = self.fleet.give_key("importer-desk")
        for address in self.routers:
            caller = CallerClient(address, key.key)
            wait_for(lambda c=caller: c.send("GET", "/v1/models").status == 200, "key")
        return key

    def caller(self, router=0):
        return CallerClient(self.routers[router], self.key)

    def faults(self, *addresses, **faults):
        for address in addresses or (*self.engines.values(), self.order_desk):
            answer = CallerClient(address).post("/standin/faults", faults)
            assert answer.status == 200

    def load(self, name):
        return CallerClient(self.engines[name]).send("GET", "/standin/load").json()

    def busy_engines(self):
        """Return the names of the engines that run requests."""
        return [name for name in self.engines if self.load(name)["running"]]


@pytest.fixture(scope="module")
def module_fleet(tmp_path_factory):
    fleet = LocalFleet(tmp_path_factory.mktemp("streams"))
    try:
        yield ServingFleet(fleet)
    finally:
        fleet.close()


@pytest.fixture
def serving(module_fleet):
    module_fleet.faults()
    return module_fleet


class Stream:
    """An open stream that is read event by event."""

    def __init__(self, address, key, content, last_event_id=""):
        headers = {"authorization": f"Bearer {key}"}
        if last_event_id:
            headers["last-event-id"] = last_event_id
        self.connection = http.client.HTTPConnection(address, timeout=20)
        self.connection.request("POST", "/v1/completions", json.dumps(content), headers)
        self.answer = self.connection.getresponse()
        self.events = []

    def read(self, count=None):
        """Read until ``count`` events or the end; return the events without ids."""
        lines = []
        while count is None or len(self.events) < count:
            line = self.answer.readline()
            if not line:
                break
            lines.append(line.decode().rstrip("\n"))
            if line == b"\n":
                self.events.append("\n".join(lines[:-1]))
                lines = []
        return [event.partition("\n")[2] or event for event in self.events]

    @property
    def last_id(self):
        return self.events[-1].partition("\n")[0].removeprefix("id: ")

    def numbers(self):
        ids = [event.partition("\n")[0] for event in self.events[:-1]]
        return [int(text.rpartition(".")[2]) for text in ids]

    def close(self):
        self.connection.close()
        self.answer.close()


def expected_texts(prompt):
    """Return the events of a stream without their ids, as an engine generates them."""
    content = json.dumps(body(prompt)).encode()
    generation = parse_generation("/v1/completions", content, "v1", TOKENS)
    events = [
        EventWriter(generation).event(index + 1) for index in range(generation.events)
    ]
    lines = [event.decode().split("\n")[1] for event in events]
    return [*lines, "data: [DONE]"]


def read_complete_stream(serving, prompt):
    stream = Stream(serving.routers[0], serving.key, body(prompt))
    texts = stream.read()
    assert stream.answer.status == 200
    assert stream.numbers() == list(range(1, TOKENS + 2))
    return texts


def test_openai_client_works_unchanged(serving):
    url = f"http://{serving.routers[0]}/v1"
    client = openai.OpenAI(api_key=serving.key, base_url=url, max_retries=0)
    kwargs = {"model": "sake-1", "messages": [{"role": "user", "content": "duty"}]}
    completion = client.chat.completions.create(**kwargs, max_tokens=5)
    chunks = list(client.chat.completions.create(**kwargs, max_tokens=5, stream=True))
    text = "".join(chunk.choices[0].delta.content for chunk in chunks)
    assert text == completion.choices[0].message.content
    assert [model.id for model in client.models.list()] == ["sake-1"]
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="none", prompt="a")
    unknown_caller = openai.OpenAI(api_key="wrong", base_url=url, max_retries=0)
    with pytest.raises(openai.AuthenticationError):
        unknown_caller.models.list()


@pytest.mark.parametrize(
    "faults",
    [
        {"close_after_events": 4},
        {"die_after_events": 4},
        {"skip_event": 5},
        {"skip_event": 13},
        {"repeat_event": 5},
        {"empty": True},
        {"wrong_request_id": True},
        {"close_before_answer": True},
        {"refuse": True},
        {"error_status": 500},
    ],
    ids=str,
)
def test_stream_is_whole_although_an_engine_fails(serving, faults):
    name, address = next(iter(serving.engines.items()))
    serving.faults(address, **faults)
    for number in range(20):
        prompt = f"{faults} {number}"
        assert read_complete_stream(serving, prompt) == expected_texts(prompt)
        if serving.load(name)["struck"]:
            return
    raise AssertionError(
        "no request through the router reached the engine with the fault"
    )


def test_engine_killed_while_it_streams(serving):
    expected = expected_texts("killed")
    stream = Stream(serving.routers[0], serving.key, body("killed"))
    stream.read(5)
    (name,) = serving.busy_engines()
    child = serving.fleet.children[name]
    child.signal(signal.SIGKILL)
    assert stream.read() == expected
    assert stream.numbers() == list(range(1, TOKENS + 2))
    child.kill()
    port = serving.engines[name].rpartition(":")[2]
    serving.fleet.start_engine(name, "--port", port)


def test_caller_that_leaves_cancels_the_engines_work(serving):
    stream = Stream(serving.routers[0], serving.key, body("left", 5000))
    stream.read(3)
    assert serving.busy_engines()
    stream.close()
    wait_for(lambda: not serving.busy_engines(), "work cancelled")


def test_withdrawn_key_ends_a_running_stream(serving):
    key = serving.new_key()
    stream = Stream(serving.routers[1], key.key, body("withdrawn", 5000))
    stream.read(3)
    serving.fleet.withdraw_key(key.key_id)
    texts = stream.read()
    assert '"key-withdrawn"' in texts[-1]
    assert len(texts) < 5000
    wait_for(lambda: not serving.busy_engines(), "work cancelled")


def test_request_that_crashes_engines_is_refused_for_good(serving):
    serving.faults(crash_marker="poison", restart_ms=50)
    content = {"model": "sake-1", "prompt": "poison", "max_tokens": 3}
    first = serving.caller(0).post("/v1/completions", content)
    assert first.status == 422 and first.run != "not-run"
    wait_for(
        lambda: serving.caller(1).post("/v1/completions", content).status == 422,
        "refused by the other router",
    )
    serving.faults()
    wait_for(
        lambda: serving.caller().chat("sake-1", "b", max_tokens=2).status == 200,
        "innocent request served",
    )


def test_close_after_the_request_was_written_is_not_called_not_run(serving):
    serving.faults(close_before_answer=True)
    answer = serving.caller().post("/orders", {"order": "B-1"})
    assert (answer.status, answer.run) == (502, "unknown")
    runs = CallerClient(serving.order_desk).send("GET", "/standin/runs").json()
    assert runs["B-1"] == 1


def test_no_target_saw_the_key(serving):
    headers = {"Cookie": serving.key, "X-Api-Key": serving.key}
    serving.caller().send("GET", f"/stock?key={serving.key}", headers=headers)
    for address in (*serving.engines.values(), serving.order_desk):
        seen = CallerClient(address).send("GET", "/standin/seen").body
        assert seen != b"[]"
        assert serving.key.encode() not in seen


def test_router_killed_while_it_streams(serving):
    expected = expected_texts("router")
    stream = Stream(serving.routers[0], serving.key, body("router"))
    received = stream.read(4)
    last_id = stream.last_id
    serving.fleet.children["entry-1"].signal(signal.SIGKILL)
    address = serving.routers[1]
    other = Stream(address, serving.key, body("another request"), last_id)
    assert other.answer.status in (400, 409, 422)
    resumed = Stream(address, serving.key, body("router"), last_id)
    assert received + resumed.read() == expected
    assert resumed.numbers() == list(range(5, TOKENS + 2))
