"""A request comes again and crashes engines while many processes are killed."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from review.lib3.config import MODEL_SERVICE, config_body, stream_route, tenant
from review.lib3.fleet import CONTACT_S, Deployment, Record, run_case
from review.lib3.poison import BACK_S, CRASHING_PART, ENGINES, ask, judge

FOLDER = Path(__file__).resolve().parent

#: Arrivals of the request before each of the kills, and after the last one.
BEFORE_KILLS, AFTER_KILLS = (2, 2, 2), 4

#: Time from one arrival to the next, and from a kill to the start, in seconds.
INTERVAL_S, DOWN_S = CONTACT_S + 0.5, 1.0

#: Prompt of the request; the last part belongs to the request itself.
PARTS = ["a0000001", CRASHING_PART, "0e1f0000"]


def run(record: Record, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    deployment = Deployment()
    platform = deployment.platform
    platform.restart_s, platform.relist_s = BACK_S, 2.0
    try:
        for number in range(ENGINES):
            platform.add(f"i-{number}", "sake-llm", version=1).prefill_s = 0.1
        deployment.start()
        body = config_body(7, [stream_route("/review/")], [MODEL_SERVICE], [tenant()])
        deployment.wait_for(
            lambda: deployment.call_control("PUT", "/config", body), "the config"
        )
        wait_ready(deployment)
        platform.crashing_part = CRASHING_PART
        number = 0
        for count in (*BEFORE_KILLS, AFTER_KILLS):
            if number and has_trouble:
                kill_and_start(deployment, record)
            for _ in range(count):
                router = deployment.routers[number % len(deployment.routers)]
                outcome = ask(deployment, router, f"poison-{number}", PARTS)
                crashes = len(platform.crashes)
                record.write(
                    f"poison-{number} by {router.name}: {outcome}; crashes: {crashes}"
                )
                number += 1
                time.sleep(INTERVAL_S)
        return judge(record, platform)
    finally:
        for process in (*deployment.routers, *deployment.controllers):
            if not process.is_running:
                record.write(f"{process.name} has ended")
        deployment.close()


def wait_ready(deployment: Deployment) -> None:
    """Wait until the routers are ready, and then until all machines are in touch."""
    for router in deployment.routers:
        deployment.wait_for(lambda r=router: deployment.is_ready(r), "a router")
    time.sleep(CONTACT_S + 1.0)


def kill_and_start(deployment: Deployment, record: Record) -> None:
    """Kill the leader and the routers at the same moment, and start them again."""
    leader = deployment.wait_for(deployment.find_leader, "a leader")
    killed = [leader, *deployment.routers]
    for process in killed:
        process.kill()
    record.write(f"killed: {', '.join(process.name for process in killed)}")
    time.sleep(DOWN_S)
    for process in killed:
        process.start()
    wait_ready(deployment)
    record.write("all machines are in touch again")


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
