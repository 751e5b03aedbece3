"""Command line of the daemon ``berylnotchd``."""

from __future__ import annotations

import argparse
import gc
import signal
import socket
import sys
import threading
from collections.abc import Sequence
from pathlib import Path

from loguru import logger

from berylnotch import __version__
from berylnotch.daemon.controller.controller import Controller
from berylnotch.daemon.router.router import Router
from berylnotch.errors import BerylnotchError, ConfigurationError
from berylnotch.settings import read_controller, read_router, read_secret
from berylnotch.transport.identity import OPERATOR_PREFIX, identity_key
from berylnotch.util.descriptors import raise_descriptor_limit
from berylnotch.util.logs import configure_logging

#: Exit codes.
EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2

#: Thresholds of the garbage collector: allocations before a collection of the youngest
#: generation, and collections of each generation before one of the next older.
_GC_THRESHOLDS = (50_000, 20, 50)

#: Seconds that a thread may hold the global interpreter lock while another thread waits
#: for it. A router's event loop releases the lock on each send. With Python's default
#: of 5 ms, the loop would wait 5 ms for the lock whenever a pool thread is computing.
ROUTER_SWITCH_INTERVAL_S = 0.0002

#: Signals that stop the process.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

#: What a request to stop writes if no signal made it.
_NO_SIGNAL = b"\0"


class StopRequest:
    """Request to stop the process, made by a signal or by any thread.

    The interpreter's own signal handler writes the number of a signal to a socket. A
    handler in Python would run in the main thread between any two of its steps: it
    deadlocks if it takes a lock that the main thread holds, such as those of
    `threading.Event` and of the log, and does not run while a system call blocks that
    began just after the signal.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)

    def install(self) -> None:
        """Let SIGTERM and SIGINT request the stop; to be called in the main thread."""
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, lambda _number, _frame: None)

    def make(self) -> None:
        """Request the stop; any thread may call this."""
        self._writer.send(_NO_SIGNAL)

    def wait(self) -> None:
        """Wait for the first request; further requests have no effect."""
        number = self._reader.recv(1)[0]
        for stop_signal in STOP_SIGNALS:
            # The interpreter restores the default actions of handled signals at its
            # end, and not those of ignored ones.
            signal.signal(stop_signal, signal.SIG_IGN)
        if number:
            logger.info("event=stop_asked signal={}", signal.Signals(number).name)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="berylnotchd", description="Router and controller of berylnotch."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--log-level", default="INFO", choices=["DEBUG", "INFO", "WARNING", "ERROR"]
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    controller = commands.add_parser(
        "controller", help="run a controller, on a VM with a disk"
    )
    controller.add_argument("--settings", required=True, metavar="FILE")
    router = commands.add_parser("router", help="run a router, on an entry VM")
    router.add_argument("--settings", required=True, metavar="FILE")
    key = commands.add_parser(
        "operator-key", help="print the key of an operator, for its key file"
    )
    key.add_argument("--secret-file", required=True, metavar="FILE")
    key.add_argument("--name", required=True, metavar="OPERATOR")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    args = get_parser().parse_args(argv)
    try:
        if args.command == "controller":
            return _run_controller(args)
        if args.command == "router":
            return _run_router(args)
        return _print_operator_key(args)
    except ConfigurationError as error:
        print(f"berylnotchd: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BerylnotchError as error:
        print(f"berylnotchd: {error}", file=sys.stderr)
        return EXIT_FAILURE


def run() -> None:
    """Run the daemon and exit with its exit code."""
    sys.exit(main())


def _run_controller(args: argparse.Namespace) -> int:
    settings = read_controller(args.settings)
    raise_descriptor_limit()
    configure_logging(f"controller/{settings.name}", args.log_level)
    stop = StopRequest()
    stop.install()
    has_failed = threading.Event()

    def on_failure() -> None:
        has_failed.set()
        stop.make()

    controller = Controller(settings, on_failure)
    controller.start()
    print(f"listening {controller.address}", flush=True)
    stop.wait()
    controller.close()
    return EXIT_FAILURE if has_failed.is_set() else EXIT_OK


def _run_router(args: argparse.Namespace) -> int:
    settings = read_router(args.settings)
    raise_descriptor_limit()
    configure_logging(f"router/{settings.name}", args.log_level)
    stop = StopRequest()
    stop.install()
    sys.setswitchinterval(ROUTER_SWITCH_INTERVAL_S)
    router = Router(settings)
    router.start()
    # Objects that live as long as the process are excluded from collections, and full
    # collections are made rare, because each of them pauses hundreds of streams.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    print(f"listening {router.http_address}", flush=True)
    stop.wait()
    router.drain()
    router.close()
    return EXIT_OK


def _print_operator_key(args: argparse.Namespace) -> int:
    secret = read_secret(Path(args.secret_file))
    print(identity_key(secret, OPERATOR_PREFIX + args.name).hex())
    return EXIT_OK


if __name__ == "__main__":
    run()
