"""Deployment in which one request comes again and again and crashes engines."""

from __future__ import annotations

import threading
import time
from collections import Counter

from review.lib3.config import MODEL_SERVICE, config_body, stream_route, tenant
from review.lib3.fleet import CONTACT_S, HOST, KEY, MODEL, Deployment, Record
from tests.fleet.processes import send_call

#: Part that crashes engines, and time until a crashed engine is back in seconds.
CRASHING_PART, BACK_S = "dead0000", 3.0

#: Engines, seconds between two arrivals of the request, and its number of arrivals.
ENGINES, INTERVAL_S, ATTEMPTS = 5, 2.0, 22

#: Events of an answer, and seconds between two of them.
EVENTS, PAUSE_S = 30, 0.04

#: Crashes from which the rule counts, and retries that it allows after them.
COUNTED_FROM, ALLOWED_RETRIES = 3, 3

#: Seconds between two sound requests of the other requester.
SOUND_INTERVAL_S = 0.2


def ask(deployment: Deployment, router, request_id: str, parts: list[str]) -> str:
    """Send one request; return how it ended."""
    # The body of the request that crashes engines is the same each time.
    body = b'{"contract": 1}' if CRASHING_PART in parts else request_id.encode()
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Berylnotch-Request-Id": request_id,
        "Berylnotch-Deadline-Ms": "10000",
        "Berylnotch-Model": MODEL,
        "Berylnotch-Token-Count": f"{60 * len(parts)},30",
        "Berylnotch-Prefix-Hash": ",".join(f"{part}:60" for part in parts),
    }
    answer = send_call(
        router.ip,
        deployment.caller_port(),
        "POST",
        "/review/contract",
        headers,
        body,
        11.0,
    )
    if answer is None:
        return "no answer"
    return f"{answer.status}, {'whole' if answer.is_whole else 'cut off'}"


class SoundRequests:
    """Another requester, whose requests share the first part with each other."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._send_all)
        self._threads: list[threading.Thread] = []
        #: Number of requests by how they ended.
        self.outcomes: Counter[str] = Counter()

    def start(self) -> None:
        """Start to send."""
        self._thread.start()

    def close(self) -> None:
        """Send nothing more, and wait for the last answers."""
        self._stop.set()
        for thread in (self._thread, *self._threads):
            if thread.ident is not None:
                thread.join()

    def _send_all(self) -> None:
        for number in range(400):
            if self._stop.wait(SOUND_INTERVAL_S):
                return
            thread = threading.Thread(target=self._send, args=(number,))
            self._threads.append(thread)
            thread.start()

    def _send(self, number: int) -> None:
        routers = self._deployment.routers
        router = routers[number % len(routers)]
        parts = ["5c1e07a2", f"91bd{number % 40:04x}", f"e440{number:04x}"]
        outcome = ask(self._deployment, router, f"sound-{number}", parts)
        self.outcomes[outcome] += 1


def run(record: Record, has_trouble: bool, part_count: int) -> int:
    """Play the case; return the exit code.

    Parameters
    ----------
    record : Record
        Gets what is sent, answered and run.
    has_trouble : bool
        Whether the request crashes engines.
    part_count : int
        Parts of the prompt, the last one of which belongs to the request itself.
    """
    deployment = Deployment()
    platform = deployment.platform
    sound = SoundRequests(deployment)
    platform.restart_s, platform.relist_s = BACK_S, 2.0
    try:
        for number in range(ENGINES):
            engine = platform.add(f"i-{number}", "sake-llm", version=1)
            engine.prefill_s = 0.1
            engine.events, engine.event_pause_s = EVENTS, PAUSE_S
        deployment.start()
        routes = [stream_route("/review/")]
        body = config_body(7, routes, [MODEL_SERVICE], [tenant()])
        deployment.wait_for(
            lambda: deployment.call_control("PUT", "/config", body), "the config"
        )
        for router in deployment.routers:
            deployment.wait_for(lambda r=router: deployment.is_ready(r), "a router")
        time.sleep(CONTACT_S + 1.0)
        if has_trouble:
            platform.crashing_part = CRASHING_PART
        record.write(
            f"the request has {part_count} prompt parts; trouble: {has_trouble}"
        )
        sound.start()
        parts = [f"{0xA0000000 + n:x}" for n in range(part_count - 2)]
        parts += [CRASHING_PART, "0e1f0000"]
        senders = []

        def send(number: int) -> None:
            router = deployment.routers[number % len(deployment.routers)]
            outcome = ask(deployment, router, f"poison-{number}", parts)
            record.write(f"poison-{number} by {router.name}: {outcome}")

        for number in range(ATTEMPTS):
            senders.append(threading.Thread(target=send, args=(number,)))
            senders[-1].start()
            time.sleep(INTERVAL_S)
        for sender in senders:
            sender.join()
        sound.close()
        record.write(f"sound requests of others: {dict(sound.outcomes)}")
        return judge(record, platform)
    finally:
        sound.close()
        for process in (*deployment.routers, *deployment.controllers):
            if not process.is_running:
                record.write(f"{process.name} has ended")
        deployment.close()


def judge(record: Record, platform) -> int:
    """Apply the rule to what engines have seen."""
    arrivals = [at for at, _, parts in platform.arrivals if CRASHING_PART in parts]
    record.write(f"arrivals at engines: {len(arrivals)}")
    record.write(f"engines crashed: {len(platform.crashes)}")
    if not arrivals:
        record.write("the request never reached an engine: the case couldn't run")
        return 2
    if len(platform.crashes) < COUNTED_FROM:
        record.write("the rule held: fewer than three crashes")
        return 0
    bound_from = platform.crashes[COUNTED_FROM - 1] + CONTACT_S
    late = [at for at in arrivals if at > bound_from]
    record.write(
        f"arrivals later than contactMs after the third crash: {len(late)}, "
        f"allowed: {ALLOWED_RETRIES}"
    )
    is_broken = len(late) > ALLOWED_RETRIES
    record.write("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
