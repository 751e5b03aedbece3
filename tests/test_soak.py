"""A short seeded run of the soak, and the seeds that ever failed."""

import pytest

from soak.run import Soak

#: Seeds of runs that once failed, each with its cause.
FAILED_BEFORE = [
    # The soak itself waited for the end of a process that another fault had ended and
    # restarted.
    4,
]


@pytest.mark.parametrize("seed", [1, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed):
    report = Soak(seed, seconds=4.0).run()
    assert report.breaks == [], f"logs in {report.folder}"
    assert report.served > 0
