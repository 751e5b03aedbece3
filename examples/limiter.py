"""Limit a program's own customers with the limiter, in one process.

Two workers charge one customer's tokens. The owner lends them out of one
bucket, so that both together stay within the customer's rate and burst. Time
is an argument of every call; here it is counted and does not pass.
"""

from __future__ import annotations

from attrs import frozen

from berylnotch.quota import GrantRequest, LocalQuota, QuotaOwner, QuotaSettings

#: Customer that both workers serve.
CUSTOMER = "label-clerks"
#: Tokens of one piece of work.
COST = 100


@frozen
class CustomerLimit:
    """Limit of a customer; any object with these attributes will do.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens at once.
    share : float, default=1.0
        Weight against other customers.
    """

    rate: float
    burst: float
    share: float = 1.0


class Worker:
    """A worker with its own part of the tokens.

    Parameters
    ----------
    name : str
        Name of the worker, unique.
    settings : QuotaSettings
        Settings that it shares with the owner.
    """

    def __init__(self, name: str, settings: QuotaSettings) -> None:
        self._name = name
        self._quota = LocalQuota(settings)
        self.done = 0

    def exchange(
        self, now: float, owner: QuotaOwner, limits: dict[str, CustomerLimit]
    ) -> None:
        """Ask the owner for tokens; in a real program, over a connection."""
        asks = self._quota.asks(now)
        request = GrantRequest(
            vm=self._name,
            incarnation="1",
            http_address="",
            failure_domain="",
            leaving=False,
            sequence=self._quota.sequence,
            asks=asks,
        )
        self._quota.receive(now, owner.grant(now, request, limits))

    def work(self, now: float, waiting: int) -> int:
        """Do as much of the waiting work as is paid for; return what is left."""
        while waiting and self._quota.charge(now, CUSTOMER, COST):
            self.done += 1
            waiting -= 1
        self._quota.want(CUSTOMER, waiting * COST, min(waiting, 1) * COST)
        return waiting


def run(seconds: float) -> int:
    """Let two workers do what they can; return how many pieces were done."""
    settings = QuotaSettings()
    owner = QuotaOwner(settings, term=1, now=0.0)
    limits = {CUSTOMER: CustomerLimit(rate=1000.0, burst=2000.0)}
    workers = (Worker("worker-1", settings), Worker("worker-2", settings))
    start = owner.steady_from
    rounds = int(seconds / settings.ask_interval_s)
    for number in range(rounds):
        now = start + number * settings.ask_interval_s
        for worker in workers:
            worker.work(now, 50)
            worker.exchange(now, owner, limits)
            worker.work(now, 50)
    return sum(worker.done for worker in workers)


def main() -> int:
    """Run the example."""
    seconds = 10.0
    done = run(seconds)
    print(f"{done * COST} tokens in {seconds:.0f} s, at 1000 tokens/s")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
