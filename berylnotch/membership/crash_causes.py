"""Identification of what the requests that crash targets have in common.

A request has several identities: its fingerprint, and each shared part of its prompt.
Any of them can be the cause of a crash. A target that crashes takes along requests that
only waited there, so the losses of all identities are compared: an identity that a
target wrote an answer on is cleared, and among the others the cause ran on every target
that it crashed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterable

from berylnotch.membership.crashes import checksum_fingerprint
from berylnotch.membership.loss_table import LossTable
from berylnotch.membership.lost_runs import Loss, LostRuns, count_separate
from berylnotch.membership.settings import MembershipSettings

#: Seconds within which losses of one target count as the same loss. Each connection to
#: a lost target reports the loss, and an engine needs longer to start again.
LOSS_WINDOW_S = 2.0

#: Seconds that the losses of an identity must span if requests with it completed before
#: the first of them. Targets that end together, such as in a loss of power, take many
#: runs of a frequent identity along at once.
MIN_SPAN_S = 2.0

#: Seconds that the losses of other identities must span. Routers notice the ends of
#: targets at one moment within less, and a longer wait would cost further targets.
MIN_NEW_SPAN_S = 0.05

#: Losses above the limit that tell requests apart which ran on the same lost targets,
#: before all of them are refused.
FURTHER_LOSSES = 2

#: Least time in seconds between two losses that tell such requests apart: longer than
#: targets need that end together.
MIN_LOSS_INTERVAL_S = 0.5

#: Largest number of identities whose completions are kept. Unlike losses, these come
#: all the time, so this much memory is always used.
MAX_COMPLETIONS = 4096

#: Seconds for which a router keeps the causes that it found, as losses expire.
KNOWN_CAUSES_S = 1.0

#: Largest number of identities in a log line.
MAX_DESCRIBED_IDENTITIES = 32

#: Targets of which the times of losses are kept.
MAX_LOST_TARGETS = 1024

#: Longest name of a prompt part in bytes; of longer ones the fingerprint is used.
MAX_PART_BYTES = 64

_PART_PREFIX = b"part:"

#: Identities that are a cause of crashes if one request has all of them.
Cause = frozenset[bytes]


def part_identity(part_id: str) -> bytes:
    """Return the identity of a prompt part, whatever request or caller it belongs to.

    Identities of parts depend on their content, so a caller who does not know a part
    cannot crash targets in its name.
    """
    name = part_id.encode()
    if len(name) > MAX_PART_BYTES:
        name = checksum_fingerprint("", name).hex().encode()
    return _PART_PREFIX + name


def describe_identities(identities: Iterable[bytes]) -> str:
    """Return identities in a form for logs: names of parts, fingerprints in hex.

    Of more than `MAX_DESCRIBED_IDENTITIES`, the others are counted.
    """
    ordered = sorted(identities)
    names = [
        i.decode("utf-8", "replace") if i.startswith(_PART_PREFIX) else i.hex()
        for i in ordered[:MAX_DESCRIBED_IDENTITIES]
    ]
    further = len(ordered) - len(names)
    return ",".join([*names, f"and {further} more"] if further else names)


class CrashCauses:
    """Losses of targets by the identities of the requests that ran there.

    Parameters
    ----------
    settings : MembershipSettings
        Number of losses after which a cause is known, retention time, and largest
        number of identities.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._losses = LossTable(
            settings.max_suspicions, lambda i: i.startswith(_PART_PREFIX)
        )
        self._lost_runs = LostRuns(settings.max_suspicions)
        self._completed_at: OrderedDict[bytes, float] = OrderedDict()
        self._max_completions = min(MAX_COMPLETIONS, settings.max_suspicions)
        self._losses_of_target: OrderedDict[str, list[Loss]] = OrderedDict()
        #: Causes for `has_cause`, None after a change of what they follow from.
        self._known_causes: frozenset[Cause] | None = None
        self._known_at = 0.0

    def __len__(self) -> int:
        return len(self._losses)

    def record_loss(
        self, now: float, identities: Iterable[bytes], target_id: str, lost_at: float
    ) -> None:
        """Record that a target was lost while it ran a request with these identities.

        For an identity whose newest completion is later, the loss does not count.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        identities : iterable of bytes
            Identities of the request.
        target_id : str
            Identity of the target.
        lost_at : float
            Monotonic time of the loss in seconds.
        """
        suspects = frozenset(
            identity
            for identity in identities
            if lost_at > self._completed_at.get(identity, float("-inf"))
        )
        if not suspects:
            return
        loss = self._canonical_loss(target_id, lost_at)
        self._lost_runs.record(suspects, loss)
        for identity in sorted(suspects):
            self._losses.add(identity, loss)
        self._known_causes = None

    def record_completion(self, identity: bytes, completed_at: float) -> None:
        """Record that a target wrote an answer to a request with an identity."""
        known_at = self._completed_at.get(identity, float("-inf"))
        self._completed_at[identity] = max(known_at, completed_at)
        self._completed_at.move_to_end(identity)
        if len(self._completed_at) > self._max_completions:
            self._completed_at.popitem(last=False)
        losses = self._losses.get(identity)
        if losses:
            kept = {loss for loss in losses if loss[1] > completed_at}
            self._losses.replace(identity, kept)
            self._known_causes = None

    def completed_at(self, identity: bytes) -> float | None:
        """Return the time of the newest known completion, None without one."""
        return self._completed_at.get(identity)

    def suspects(
        self, count: int, known: Container[bytes] = frozenset()
    ) -> tuple[bytes, ...]:
        """Return the identities that ran on several lost targets, likely ones first.

        Half of the places are for those with the newest losses. Otherwise identities
        that no request has any more, and so never complete, could take all places.

        Parameters
        ----------
        count : int
            Largest number of identities to return.
        known : container of bytes, optional
            Identities to leave out.
        """
        repeated = self._losses.repeated
        likely = sorted((i for i in repeated if i not in known), key=self._rank)
        newest = sorted(likely, key=lambda i: -max(at for _, at in repeated[i]))
        half = count // 2
        chosen = dict.fromkeys((*likely[: count - half], *newest[:half], *likely))
        return tuple(chosen)[:count]

    def lost_targets(self, identity: bytes) -> tuple[str, ...]:
        """Return the targets that were lost while they ran an identity, in order."""
        return tuple(target_id for target_id, _ in sorted(self._losses.get(identity)))

    def lost_runs(self) -> list[tuple[frozenset[bytes], str, float]]:
        """Return identities, target and time of the lost runs, oldest requests first.

        Identities that completed after the loss are left out.
        """
        runs = []
        for identities, loss in self._lost_runs:
            suspects = {i for i in identities if loss in self._losses.get(i)}
            if suspects:
                runs.append((frozenset(suspects), *loss))
        return runs

    def find_causes(
        self, now: float, candidates: Container[bytes] | None = None
    ) -> frozenset[Cause]:
        """Return the sets of identities that explain enough losses.

        A set holds the identities of one request that ran on each of these lost
        targets: one of them is the cause, but which one is not known yet. A request
        that lacks one of them is not to be refused. An identity that was never
        completed is more likely than one that was. Losses that one cause explains do
        not count for another.

        Different requests may have run on the same lost targets. Further losses tell
        them apart; if these do not either, each of the requests is a cause.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        candidates : container of bytes, optional
            Identities that may be found to be a cause. By default, all may.
        """
        self._remove_expired(now)
        causes: set[Cause] = set()
        explained: set[Loss] = set()
        repeated = self._losses.repeated
        for identity in sorted(repeated, key=self._rank):
            losses = repeated[identity]
            is_candidate = candidates is None or identity in candidates
            if not is_candidate or not self._is_limit_reached(identity, losses):
                continue
            if len(losses - explained) < self._settings.crash_limit:
                continue
            explained |= losses
            group = frozenset(
                other
                for other, other_losses in repeated.items()
                if other_losses >= losses
                and self._was_completed(other) <= self._was_completed(identity)
            )
            alternatives = self._lost_runs.alternatives(group, losses)
            if len(alternatives) == 1 or self._has_further_losses(losses):
                causes.update(alternatives)
        return frozenset(causes)

    def has_cause(self, now: float, identities: frozenset[bytes]) -> bool:
        """Return whether a request with these identities has a known cause."""
        if not self._losses.repeated.keys() & identities:
            return False
        if self._known_causes is None or now >= self._known_at + KNOWN_CAUSES_S:
            self._known_causes, self._known_at = self.find_causes(now), now
        return any(cause <= identities for cause in self._known_causes)

    def release(self, cause: Cause) -> None:
        """Let requests with a cause run again, until they crash one more target."""
        kept = self._settings.crash_limit - 1
        for identity in cause:
            by_time = sorted(
                self._losses.get(identity), key=lambda loss: loss[1], reverse=True
            )
            self._losses.replace(identity, set(by_time[:kept]))
        self._known_causes = None

    def _rank(self, identity: bytes) -> tuple:
        """Order identities by likelihood: never completed first, then by losses."""
        losses = self._losses.repeated[identity]
        return self._was_completed(identity), -len(losses), identity

    def _was_completed(self, identity: bytes) -> bool:
        return identity in self._completed_at

    def _canonical_loss(self, target_id: str, lost_at: float) -> Loss:
        """Return the loss that all reports of it share."""
        known = self._losses_of_target.setdefault(target_id, [])
        self._losses_of_target.move_to_end(target_id)
        for loss in known:
            if abs(loss[1] - lost_at) <= LOSS_WINDOW_S:
                return loss
        known.append((target_id, lost_at))
        if len(self._losses_of_target) > MAX_LOST_TARGETS:
            self._losses_of_target.popitem(last=False)
        return known[-1]

    def _has_further_losses(self, losses: set[Loss]) -> bool:
        """Whether requests that the losses did not tell apart are to be refused."""
        needed = self._settings.crash_limit + FURTHER_LOSSES
        return count_separate(losses, MIN_LOSS_INTERVAL_S) >= needed

    def _is_limit_reached(self, identity: bytes, losses: set[Loss]) -> bool:
        if len(losses) < self._settings.crash_limit:
            return False
        min_span_s = MIN_SPAN_S if self._was_completed(identity) else MIN_NEW_SPAN_S
        times = [lost_at for _, lost_at in losses]
        return max(times) - min(times) >= min_span_s

    def _remove_expired(self, now: float) -> None:
        """Remove old losses, and the identities that have no others."""
        oldest_at = now - self._settings.crash_retention_s
        self._lost_runs.remove_before(oldest_at)
        self._losses.remove_before(oldest_at)
