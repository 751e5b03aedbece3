"""Requests that crash the targets that run them."""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from berylnotch.membership.settings import MembershipSettings

#: Bytes of a fingerprint.
FINGERPRINT_BYTES = 16

#: Time in seconds within which failures at one target are the same loss.
LOSS_WINDOW_S = 2.0

SharedTargets = Callable[[bytes], frozenset[str]]


def fingerprint(organisation: str, body: bytes) -> bytes:
    """Identify a request by its organisation and body."""
    # Processes of a fleet do without this library, which takes 3.5 MB of each.
    import hashlib

    digest = hashlib.sha256(organisation.encode() + b"\0")
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]


def light_fingerprint(organisation: str, body: bytes) -> bytes:
    """Identify a request by two checksums and its length.

    It tells chance apart, not intent: a caller who makes two bodies with the same
    one only blames the own requests.
    """
    data = organisation.encode() + b"\0" + body
    return struct.pack("<III", zlib.crc32(data), zlib.adler32(data), len(data))


@frozen
class Verdict:
    """What a loss tells of the requests that ran.

    Parameters
    ----------
    reported : tuple of bytes
        Requests whose loss other routers should hear of.
    blamed : tuple of bytes
        Those of them that are refused from now on.
    """

    reported: tuple[bytes, ...] = ()
    blamed: tuple[bytes, ...] = ()


@define
class _Suspicion:
    """Targets lost with a request; ``doubtful`` ones had other suspects too."""

    seen_at: float
    targets: set[str] = field(factory=set)
    doubtful: dict[str, float] = field(factory=dict)


class CrashGuard:
    """Suspicion of requests that ran when a target was lost.

    Every request that ran on a lost target is a suspect. The second target
    that is lost decides: a request that was the only suspect there is blamed.
    If several suspects ran there, none is blamed by it, and `avoid` keeps them
    apart on their next targets, so that the next loss tells. A request that
    runs to its end is cleared.

    Parameters
    ----------
    settings : MembershipSettings
        Limit, retention and size.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: OrderedDict[bytes, _Suspicion] = OrderedDict()
        self._cleared: OrderedDict[bytes, float] = OrderedDict()
        self._running: dict[str, dict[bytes, int]] = {}

    def __len__(self) -> int:
        return len(self._suspicions) + len(self._cleared)

    def began(self, request: bytes, target: str) -> None:
        """Note that a target runs a request."""
        running = self._running.setdefault(target, {})
        running[request] = running.get(request, 0) + 1

    def ended(self, request: bytes, target: str) -> None:
        """Note that a target does not run a request any more."""
        running = self._running.get(target, {})
        left = running.get(request, 0) - 1
        if left > 0:
            running[request] = left
            return
        running.pop(request, None)
        if not running:
            self._running.pop(target, None)

    def completed(self, request: bytes, now: float = 0.0) -> None:
        """Clear a request that a target ran to its end."""
        if self._suspicions.pop(request, None) is None:
            return
        self._cleared[request] = now
        while len(self._cleared) > self._settings.crash_max:
            self._cleared.popitem(last=False)

    def lost(
        self,
        now: float,
        target: str,
        requests: Iterable[bytes] = (),
        shared: SharedTargets | None = None,
    ) -> Verdict:
        """Note that a target was lost.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        target : str
            Name of the target.
        requests : iterable of bytes
            Requests that ran there, with those noted by `began`.
        shared : callable, optional
            Gives the targets that other routers saw lost with a request.

        Returns
        -------
        Verdict
            What to report and what is refused now.
        """
        running = set(requests) | set(self._running.pop(target, {}))
        running = {r for r in running if not self._is_judged(now, r, target)}
        suspects = {
            request for request in running if self._others(now, request, target, shared)
        }
        is_doubtful = len(suspects) > 1
        for request in running:
            held = self._suspect(now, request)
            if request in suspects and is_doubtful:
                held.doubtful[target] = now
            else:
                held.targets.add(target)
        self._trim(now)
        blamed = tuple(sorted(r for r in suspects if self.is_refused(now, r, shared)))
        reported = running - suspects if is_doubtful else running
        return Verdict(tuple(sorted(reported | set(blamed))), blamed)

    def avoid(self, now: float, request: bytes) -> frozenset[str]:
        """Return the targets where another suspect runs.

        Empty if the request is no suspect itself. If no other target is left,
        one of these is better than to give the request up: it may be innocent,
        and the loss of a target with several suspects blames none of them.
        """
        if not self._is_suspect(now, request):
            return frozenset()
        return frozenset(
            target
            for target, running in self._running.items()
            if any(o != request and self._is_suspect(now, o) for o in running)
        )

    def targets(self, now: float, request: bytes) -> frozenset[str]:
        """Return the targets whose loss counts against the request."""
        held = self._held(now, request)
        return frozenset(held.targets) if held is not None else frozenset()

    def is_refused(
        self,
        now: float,
        request: bytes,
        shared: SharedTargets | frozenset[str] | None = None,
    ) -> bool:
        """Tell whether the request must be refused.

        ``shared`` are the targets that other routers report, or gives them.
        They do not count once the request was cleared here.
        """
        reported = shared(request) if callable(shared) else shared or frozenset()
        if self._is_cleared(now, request):
            reported = frozenset()
        held = self._held(now, request)
        if held is None:
            return len(reported) >= self._settings.crash_limit
        certain = held.targets | reported
        if len(certain) >= self._settings.crash_limit:
            return True
        # Doubtful losses decide only when there is one more than needed.
        return len(certain | held.doubtful.keys()) > self._settings.crash_limit

    def _others(
        self, now: float, request: bytes, target: str, shared: SharedTargets | None
    ) -> frozenset[str]:
        """Return the other targets lost with a request before."""
        held = self._held(now, request)
        known = frozenset(held.targets | held.doubtful.keys()) if held else frozenset()
        if shared is not None and not self._is_cleared(now, request):
            known |= shared(request)
        return known - {target}

    def _is_judged(self, now: float, request: bytes, target: str) -> bool:
        """Tell whether this loss was judged when a neighbour reported it."""
        held = self._held(now, request)
        if held is None:
            return False
        doubtful_at = held.doubtful.get(target)
        return doubtful_at is not None and now - doubtful_at <= LOSS_WINDOW_S

    def _is_suspect(self, now: float, request: bytes) -> bool:
        return self._held(now, request) is not None

    def _is_cleared(self, now: float, request: bytes) -> bool:
        at = self._cleared.get(request)
        return at is not None and now - at <= self._settings.crash_keep_s

    def _held(self, now: float, request: bytes) -> _Suspicion | None:
        held = self._suspicions.get(request)
        if held is None or now - held.seen_at > self._settings.crash_keep_s:
            return None
        return held

    def _suspect(self, now: float, request: bytes) -> _Suspicion:
        held = self._held(now, request) or _Suspicion(now)
        held.seen_at = now
        self._suspicions[request] = held
        self._suspicions.move_to_end(request)
        self._cleared.pop(request, None)
        return held

    def _trim(self, now: float) -> None:
        keep_s = self._settings.crash_keep_s
        while self._suspicions:
            oldest = next(iter(self._suspicions.values()))
            is_expired = now - oldest.seen_at > keep_s
            if len(self._suspicions) <= self._settings.crash_max and not is_expired:
                return
            self._suspicions.popitem(last=False)
