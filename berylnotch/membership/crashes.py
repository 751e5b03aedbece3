"""Detection of requests that crash the targets that run them.

Requests are identified by their fingerprints.
"""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from berylnotch.membership.settings import MembershipSettings

#: Length of a fingerprint in bytes.
FINGERPRINT_BYTES = 16

#: Seconds within which failures at one target count as the same loss.
LOSS_WINDOW_S = 2.0

#: Returns the targets that other routers reported as lost with a request.
PeerLosses = Callable[[bytes], frozenset[str]]


def fingerprint(organisation: str, body: bytes) -> bytes:
    """Return a cryptographic fingerprint of a request's organisation and body."""
    # Imported here, because the processes of `berylnotch.daemon.fleet` do not use this
    # function and the library takes 3.5 MB of memory in each process.
    import hashlib

    digest = hashlib.sha256(organisation.encode() + b"\0")
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]


def checksum_fingerprint(organisation: str, body: bytes) -> bytes:
    """Return a fingerprint made of two checksums and the length of a request.

    Accidental collisions are unlikely; deliberate ones are possible. A caller who
    constructs two bodies with the same fingerprint only causes refusals of requests
    of the same organisation.
    """
    data = organisation.encode() + b"\0" + body
    return struct.pack("<III", zlib.crc32(data), zlib.adler32(data), len(data))


@frozen
class Verdict:
    """Requests to report and to refuse after the loss of the target that ran them.

    Parameters
    ----------
    reported : tuple of bytes
        Requests for which the loss is reported to other routers.
    blamed : tuple of bytes
        Reported requests that are refused from now on.
    """

    reported: tuple[bytes, ...] = ()
    blamed: tuple[bytes, ...] = ()


@define
class _Suspicion:
    """Suspicion that a request crashes targets, with the lost targets that ran it.

    Parameters
    ----------
    updated_at : float
        Time of the latest loss in seconds.
    targets : set of str
        Targets whose loss is attributed to the request.
    ambiguous : dict of str to float
        Targets that ran other suspects too, with the time of their loss.
    """

    updated_at: float
    targets: set[str] = field(factory=set)
    ambiguous: dict[str, float] = field(factory=dict)


class CrashGuard:
    """Tracks the requests that ran on lost targets and finds those to refuse.

    Every request that ran on a lost target becomes a suspect. If a second target is
    lost and a single suspect ran on it, that request is blamed. If several suspects
    ran on it, the loss is ambiguous and none of them is blamed. `targets_to_avoid` then
    keeps the suspects on different targets, so that the next loss identifies the cause.
    A request that runs to its end is cleared.

    Parameters
    ----------
    settings : MembershipSettings
        Limit of losses, retention time and maximum number of suspicions.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: OrderedDict[bytes, _Suspicion] = OrderedDict()
        self._cleared: OrderedDict[bytes, float] = OrderedDict()
        self._running: dict[str, dict[bytes, int]] = {}

    def __len__(self) -> int:
        return len(self._suspicions) + len(self._cleared)

    def on_request_started(self, request: bytes, target: str) -> None:
        """Record that a target runs a request."""
        running = self._running.setdefault(target, {})
        running[request] = running.get(request, 0) + 1

    def on_request_ended(self, request: bytes, target: str) -> None:
        """Record that a target no longer runs a request."""
        running = self._running.get(target, {})
        remaining = running.get(request, 0) - 1
        if remaining > 0:
            running[request] = remaining
            return
        running.pop(request, None)
        if not running:
            self._running.pop(target, None)

    def on_request_completed(self, request: bytes, now: float = 0.0) -> None:
        """Clear a request that a target ran to its end."""
        if self._suspicions.pop(request, None) is None:
            return
        self._cleared[request] = now
        while len(self._cleared) > self._settings.max_suspicions:
            self._cleared.popitem(last=False)

    def on_target_lost(
        self,
        now: float,
        target: str,
        requests: Iterable[bytes] = (),
        peer_losses: PeerLosses | None = None,
    ) -> Verdict:
        """Attribute the loss of a target to the requests that it ran.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        target : str
            Name of the target.
        requests : iterable of bytes
            Requests that the target ran, besides those that
            `on_request_started` recorded.
        peer_losses : callable, optional
            Returns the targets that other routers reported as lost with a request.

        Returns
        -------
        Verdict
            Requests to report to other routers, and requests that are now refused.
        """
        running = set(requests) | set(self._running.pop(target, {}))
        running = {r for r in running if not self._is_loss_recorded(now, r, target)}
        suspects = {
            request
            for request in running
            if self._other_lost_targets(now, request, target, peer_losses)
        }
        is_ambiguous = len(suspects) > 1
        for request in running:
            suspicion = self._add_suspicion(now, request)
            if request in suspects and is_ambiguous:
                suspicion.ambiguous[target] = now
            else:
                suspicion.targets.add(target)
        self._evict_suspicions(now)
        blamed = tuple(
            sorted(r for r in suspects if self.is_refused(now, r, peer_losses))
        )
        reported = running - suspects if is_ambiguous else running
        return Verdict(tuple(sorted(reported | set(blamed))), blamed)

    def targets_to_avoid(self, now: float, request: bytes) -> frozenset[str]:
        """Return the targets that run another suspect.

        The result is empty if the request is not a suspect itself. If no other target
        is available, the request should run on one of these rather than fail. The
        request may be harmless, and if a target with several suspects is lost, none of
        them is blamed.
        """
        if not self._is_suspect(now, request):
            return frozenset()
        return frozenset(
            target
            for target, running in self._running.items()
            if any(o != request and self._is_suspect(now, o) for o in running)
        )

    def targets(self, now: float, request: bytes) -> frozenset[str]:
        """Return the targets whose loss is attributed to the request."""
        suspicion = self._find_suspicion(now, request)
        return frozenset(suspicion.targets) if suspicion is not None else frozenset()

    def is_refused(
        self,
        now: float,
        request: bytes,
        peer_losses: PeerLosses | frozenset[str] | None = None,
    ) -> bool:
        """Tell whether the request must be refused.

        ``peer_losses`` is the set of targets that other routers reported as lost with
        the request, or a callable that returns it. These losses do not count after
        the request ran to its end on a target of this router.
        """
        peer_targets = (
            peer_losses(request)
            if callable(peer_losses)
            else peer_losses or frozenset()
        )
        if self._is_cleared(now, request):
            peer_targets = frozenset()
        suspicion = self._find_suspicion(now, request)
        if suspicion is None:
            return len(peer_targets) >= self._settings.crash_limit
        attributed = suspicion.targets | peer_targets
        if len(attributed) >= self._settings.crash_limit:
            return True
        # With ambiguous losses, one loss more than the limit is required.
        return len(attributed | suspicion.ambiguous.keys()) > self._settings.crash_limit

    def _other_lost_targets(
        self,
        now: float,
        request: bytes,
        target: str,
        peer_losses: PeerLosses | None,
    ) -> frozenset[str]:
        """Return the targets other than ``target`` that were lost with a request."""
        suspicion = self._find_suspicion(now, request)
        lost_targets = (
            frozenset(suspicion.targets | suspicion.ambiguous.keys())
            if suspicion
            else frozenset()
        )
        if peer_losses is not None and not self._is_cleared(now, request):
            lost_targets |= peer_losses(request)
        return lost_targets - {target}

    def _is_loss_recorded(self, now: float, request: bytes, target: str) -> bool:
        """Tell whether this loss is already recorded as ambiguous.

        Each connection to a lost target reports the loss, so the report for another
        request on the target may have recorded it for this request too.
        """
        suspicion = self._find_suspicion(now, request)
        if suspicion is None:
            return False
        lost_at = suspicion.ambiguous.get(target)
        return lost_at is not None and now - lost_at <= LOSS_WINDOW_S

    def _is_suspect(self, now: float, request: bytes) -> bool:
        return self._find_suspicion(now, request) is not None

    def _is_cleared(self, now: float, request: bytes) -> bool:
        cleared_at = self._cleared.get(request)
        return (
            cleared_at is not None
            and now - cleared_at <= self._settings.crash_retention_s
        )

    def _find_suspicion(self, now: float, request: bytes) -> _Suspicion | None:
        """Return the unexpired suspicion of a request, None if there is none."""
        suspicion = self._suspicions.get(request)
        if (
            suspicion is None
            or now - suspicion.updated_at > self._settings.crash_retention_s
        ):
            return None
        return suspicion

    def _add_suspicion(self, now: float, request: bytes) -> _Suspicion:
        """Create or renew the suspicion of a request; it is no longer cleared."""
        suspicion = self._find_suspicion(now, request) or _Suspicion(now)
        suspicion.updated_at = now
        self._suspicions[request] = suspicion
        self._suspicions.move_to_end(request)
        self._cleared.pop(request, None)
        return suspicion

    def _evict_suspicions(self, now: float) -> None:
        """Remove expired suspicions, and the oldest ones beyond the maximum."""
        retention_s = self._settings.crash_retention_s
        while self._suspicions:
            oldest = next(iter(self._suspicions.values()))
            is_expired = now - oldest.updated_at > retention_s
            if (
                len(self._suspicions) <= self._settings.max_suspicions
                and not is_expired
            ):
                return
            self._suspicions.popitem(last=False)
