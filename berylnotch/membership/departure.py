"""Schedule of a planned stop of a process that serves requests.

Callers use the address of a stopping process until their address answers expire, and
their open connections until the process is gone. The process therefore accepts
requests to its end, and takes on only work whose answer ends before that.
"""

from __future__ import annotations

import math

from attrs import frozen

#: Seconds before the kill until which answers may last. They cover the answer of a
#: target to its deadline, the delivery of the last answers and the exit.
ANSWER_RESERVE_S = 0.45

#: Seconds before the kill at which the last connections are closed. The rest is for
#: the exit of the process.
EXIT_RESERVE_S = 0.2

#: Seconds of a stop in which requests are taken by an estimate of their answers'
#: duration, and the largest fraction of the stop that they may take. An estimate fails
#: for targets that get slower, break or fall silent; within this time a platform with
#: the usual 8 s excuses answers that the end of the stop cuts.
MAX_ESTIMATE_S = 2.8
MAX_ESTIMATE_FRACTION = 0.35

#: Largest fraction of a stop that each reserve takes if the time to stop is short.
MAX_RESERVE_FRACTION = 0.25


@frozen
class StopSchedule:
    """Times of one planned stop, in seconds since the VM started.

    Parameters
    ----------
    began_at : float
        Time of the signal.
    accept_until : float
        Time from which no caller has an address answer with this process, so that the
        process may exit as soon as it has no requests.
    estimate_until : float
        Time until which requests are taken by an estimate of their answers' duration.
        Later ones are taken only if their own deadlines are not after ``answer_by``.
    answer_by : float
        Time by which all answers must have ended.
    close_by : float
        Time by which all connections must be closed.
    exit_by : float
        Time at which the process is killed.
    """

    began_at: float
    accept_until: float
    estimate_until: float
    answer_by: float
    close_by: float
    exit_by: float = math.inf


def plan_stop(
    began_at: float, stop_s: float, address_lifetime_s: float
) -> StopSchedule:
    """Return the schedule of a stop.

    Parameters
    ----------
    began_at : float
        Time of the signal, in seconds since the VM started.
    stop_s : float
        Seconds from the signal to the kill of the process.
    address_lifetime_s : float
        Longest time in seconds for which callers use an address answer.
    """
    max_reserve_s = MAX_RESERVE_FRACTION * stop_s
    exit_by = began_at + stop_s
    answer_by = exit_by - min(ANSWER_RESERVE_S, 2 * max_reserve_s)
    return StopSchedule(
        began_at=began_at,
        accept_until=min(began_at + address_lifetime_s, answer_by),
        estimate_until=began_at + min(MAX_ESTIMATE_S, MAX_ESTIMATE_FRACTION * stop_s),
        answer_by=answer_by,
        close_by=exit_by - min(EXIT_RESERVE_S, max_reserve_s),
        exit_by=exit_by,
    )
