"""Fair shares over several routers, by the priority that grants carry."""

from __future__ import annotations

from berylnotch.admission import AdmissionSettings, FairQueue, Ticket
from berylnotch.quota.usage import UsageAverage, usage_priority

ROUTERS = 3
STEPS = 600


def test_organisation_on_one_router_gains_on_one_that_fills_them_all():
    """Equal shares; by each router's own queue it would get half of one."""
    queues = [FairQueue(AdmissionSettings()) for _ in range(ROUTERS)]
    use = {name: UsageAverage(20.0, 0.0) for name in ("everywhere", "here")}
    served = {"everywhere": 0, "here": 0}
    for step in range(STEPS):
        total = sum(average.per_s(step) for average in use.values())
        for number, queue in enumerate(queues):
            names = ("everywhere", "here") if number == 0 else ("everywhere",)
            for name in names:
                own = use[name].per_s(step)
                priority = usage_priority(own, 1.0, total, 2.0)
                identity = f"{name}/{number}/{step}"
                queue.offer(step, Ticket(identity, name, 1.0, 1.0, 1e9, step, priority))
            ticket = queue.pop(step, lambda _: True)
            served[ticket.organisation] += 1
            use[ticket.organisation].add(step, 1)
    assert served["here"] > 0.65 * STEPS
    assert served["everywhere"] > (ROUTERS - 1) * STEPS
