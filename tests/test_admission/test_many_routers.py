"""Fair shares across several routers, through the priority in the grants."""

from __future__ import annotations

from berylnotch.admission import AdmissionSettings, FairQueue, Ticket
from berylnotch.quota.usage import UsageAverage, usage_priority

N_ROUTERS = 3
N_STEPS = 600


def test_organisation_on_one_router_gains_on_one_that_fills_them_all():
    """Guards against an organisation gaining share by sending to every router.

    Both organisations have equal shares. If each router's queue ignored the use at
    the other routers, the organisation with one router would get only half of it.
    """
    queues = [FairQueue(AdmissionSettings()) for _ in range(N_ROUTERS)]
    use = {name: UsageAverage(20.0, 0.0) for name in ("everywhere", "here")}
    served = {"everywhere": 0, "here": 0}
    for step in range(N_STEPS):
        total_use = sum(average.per_s(step) for average in use.values())
        for number, queue in enumerate(queues):
            names = ("everywhere", "here") if number == 0 else ("everywhere",)
            for name in names:
                own_use = use[name].per_s(step)
                priority = usage_priority(own_use, 1.0, total_use, 2.0)
                identity = f"{name}/{number}/{step}"
                queue.offer(step, Ticket(identity, name, 1.0, 1.0, 1e9, step, priority))
            ticket = queue.pop(step, lambda _: True)
            served[ticket.organisation] += 1
            use[ticket.organisation].add(step, 1)
    assert served["here"] > 0.65 * N_STEPS
    assert served["everywhere"] > (N_ROUTERS - 1) * N_STEPS
