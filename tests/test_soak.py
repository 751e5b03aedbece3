"""Short seeded runs of the soak, including the seeds of earlier failures."""

import pytest

from soak.run import Soak

#: Seeds of runs that failed, each with the cause of its failure.
FAILED_SEEDS = [
    # The soak waited for the exit of a process that a second fault had already stopped
    # and restarted.
    4,
]


@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_promises_hold_under_faults(seed):
    report = Soak(seed, seconds=4.0).run()
    assert report.violations == [], f"logs in {report.folder}"
    assert report.served > 0
