"""Example that applies the rate limiter to a program's own customers, in one process.

Two workers charge the tokens of one customer. The owner grants both workers tokens from
one token bucket, so that together they stay within the customer's rate and burst. Time
is an argument of every call; the example advances it without waiting.
"""

from __future__ import annotations

from attrs import frozen

from berylnotch.quota import GrantRequest, LocalQuota, QuotaOwner, QuotaSettings

#: Customer of both workers.
CUSTOMER = "label-clerks"
#: Cost of a unit of work, in tokens.
COST = 100


@frozen
class CustomerLimit:
    """Rate limit of a customer; any object with these attributes is accepted.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Maximum number of tokens charged at once.
    share : float, default=1.0
        Weight of the customer relative to other customers.
    """

    rate: float
    burst: float
    share: float = 1.0


class Worker:
    """Worker that charges tokens granted to it.

    Parameters
    ----------
    name : str
        Unique name of the worker.
    settings : QuotaSettings
        Quota settings; the owner uses the same.
    """

    def __init__(self, name: str, settings: QuotaSettings) -> None:
        self._name = name
        self._quota = LocalQuota(settings)
        self.done = 0

    def exchange(
        self, now: float, owner: QuotaOwner, limits: dict[str, CustomerLimit]
    ) -> None:
        """Request tokens from the owner; a real program does this over a connection."""
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
        """Do the queued work that the granted tokens cover.

        Returns
        -------
        int
            Units of work that remain queued.
        """
        while waiting and self._quota.charge(now, CUSTOMER, COST):
            self.done += 1
            waiting -= 1
        self._quota.want(CUSTOMER, waiting * COST, min(waiting, 1) * COST)
        return waiting


def run(seconds: float) -> int:
    """Run two workers for ``seconds`` and return the units of work done."""
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
