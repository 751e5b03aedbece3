"""Command line of ``berylnotch-fleetd``, a router or controller on the platform."""

from __future__ import annotations

import argparse
import os
import signal
import sys
import threading
from collections.abc import Callable, Sequence

from berylnotch import __version__
from berylnotch.errors import BerylnotchError
from berylnotch.settings.fleet import (
    FleetSettings,
    SeedSource,
    read_fleet_settings,
)
from berylnotch.util.clock import boot_time
from berylnotch.util.descriptors import raise_descriptor_limit
from berylnotch.util.lines import (
    FLUSH_INTERVAL_S,
    EventLog,
    make_loop_error_handler,
    open_event_log,
)
from berylnotch.util.loop import Loop

#: Exit codes.
EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2

#: Seconds between the end of a controller's work and its exit, for sending the last
#: messages.
_CLOSE_DELAY_S = 0.3

#: Seconds for which a process that cannot start waits until the reason is in its log.
_FAILURE_LOG_TIMEOUT_S = 10.0

#: Starts a stop; called with the boot time of the signal.
Stop = Callable[[float], None]


class StopSignals:
    """Stops a process at its first SIGTERM or SIGINT; further signals are ignored.

    The handlers are installed before the servers listen. A signal during the start is
    kept until the loop runs, since the default action would end the process with
    connections that wait to be accepted.

    Parameters
    ----------
    loop : Loop
        Loop in which the stop runs.
    log : EventLog
        Log of the process.
    """

    def __init__(self, loop: Loop, log: EventLog) -> None:
        self._loop = loop
        self._log = log
        self._signal_at = 0.0
        #: Held from the first signal on.
        self._is_stopping = threading.Lock()
        #: Starts the stop; it has to be set before the loop runs.
        self.stop: Stop = lambda signal_at: None

    def install(self) -> None:
        """Install the handlers; to be called in the main thread."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def _on_signal(self, number: int, _frame: object) -> None:
        # Another signal may interrupt this handler between any two steps of it.
        if not self._is_stopping.acquire(blocking=False):
            return
        self._signal_at = boot_time()
        self._log.info("stop_asked", signal=signal.Signals(number).name)
        self._loop.call_from_signal(self._begin_stop)

    def _begin_stop(self) -> None:
        self.stop(self._signal_at)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="berylnotch-fleetd",
        description="Router or controller of a fleet on the users' platform.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("role", choices=("router", "controller"))
    parser.add_argument("--settings", required=True, metavar="FILE")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run a fleet's router or controller and return its exit code."""
    args = get_parser().parse_args(argv)
    try:
        settings = read_fleet_settings(args.settings)
    except BerylnotchError as error:
        print(f"berylnotch-fleetd: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    raise_descriptor_limit(settings.max_fds)
    log = open_event_log(f"{args.role}/{settings.name}")
    loop = Loop(args.role, on_error=make_loop_error_handler(log))
    stop_signals = StopSignals(loop, log)
    stop_signals.install()
    _log_reload_signals(log)
    try:
        start_role = _start_router if args.role == "router" else _start_controller
        stop_signals.stop = start_role(
            settings, _make_seed_source(args.settings, settings, log), loop, log
        )
    except (BerylnotchError, OSError) as error:
        log.error("start_failed", reason=str(error))
        log.close(_FAILURE_LOG_TIMEOUT_S)
        return EXIT_FAILURE
    loop.call_every(FLUSH_INTERVAL_S, log.flush)
    loop.run()
    log.info("stopped")
    log.close()
    return EXIT_OK


def run() -> None:
    """Run the daemon and exit with its exit code.

    Once a role has ended, its log is written and the kernel closes its files. The
    teardown of the interpreter would only delay the exit, and a second signal during
    the teardown would end the process with another code.
    """
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _make_seed_source(path: str, settings: FleetSettings, log: EventLog) -> SeedSource:
    return SeedSource(
        path,
        settings,
        lambda seeds: log.info("seeds_changed", seeds=seeds),
        lambda error: log.warning("settings_unreadable", reason=str(error)),
    )


def _start_router(
    settings: FleetSettings, seeds: SeedSource, loop: Loop, log: EventLog
) -> Stop:
    from berylnotch.daemon.fleet.router import FleetRouter

    router = FleetRouter(settings, seeds, loop, log, seeds.bounds)
    router.start()

    def on_drained() -> None:
        router.close()
        loop.close()

    return lambda signal_at: router.drain(on_drained, signal_at)


def _start_controller(
    settings: FleetSettings, seeds: SeedSource, loop: Loop, log: EventLog
) -> Stop:
    from berylnotch.daemon.fleet.controller import FleetController

    controller = FleetController(settings, seeds, loop, log)
    controller.start()

    def stop(_signal_at: float) -> None:
        controller.close()
        loop.call_later(_CLOSE_DELAY_S, loop.close)

    return stop


def _log_reload_signals(log: EventLog) -> None:
    # SIGHUP needs no other action, since `SeedSource` reads the file on each use.
    signal.signal(signal.SIGHUP, lambda _number, _frame: log.info("reload_asked"))


if __name__ == "__main__":
    run()
