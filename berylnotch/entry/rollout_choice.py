"""Limits the targets of one request to those that a rollout lets it use."""

from __future__ import annotations

from collections.abc import Callable, Collection

from attrs import evolve, frozen

from berylnotch.entry.candidates import is_suitable
from berylnotch.entry.context import EntryContext
from berylnotch.entry.known_rollout import Rollout
from berylnotch.entry.model import Choice, ChoiceInputs
from berylnotch.entry.rollout_evidence import AttemptEvidence
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.group.rollouts import OTHER_VERSIONS, RolloutPhase
from berylnotch.util.metrics import Label


@frozen
class _Permission:
    """Targets that a request may use.

    Parameters
    ----------
    allows : callable or None
        Returns whether a target may be used; None if all may be used.
    is_candidate_only : bool
        Whether only candidate engines may be used, while engines of other versions are
        up and hold prompts.
    earns : bool
        Whether the request adds the share to the router's credit when it is first sent.
    is_optional : bool
        Whether engines of other versions may serve the request as well.
    """

    allows: Callable[[Target], bool] | None
    is_candidate_only: bool = False
    earns: bool = False
    is_optional: bool = False


class RequestRollout:
    """Rollout of the service of one request.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    service : str
        Service that the request is sent to.
    """

    def __init__(self, context: EntryContext, service: str) -> None:
        self._context = context
        self._service = service
        self._is_new = True
        self._earns = False
        self._has_ended = False

    def restrict(self, inputs: ChoiceInputs) -> ChoiceInputs:
        """Return the inputs to a choice, limited to the targets that may be used."""
        rollout = self._context.rollouts.of(self._service)
        if rollout is None:
            return inputs
        if inputs.software_version not in (None, rollout.policy.version):
            # The stream may have begun before the rollout.
            self._hold(rollout, is_elsewhere=True)
        permission = self._permission(rollout, inputs)
        self._earns = permission.earns
        if permission.allows is None:
            return inputs
        return _limit(inputs, rollout, permission)

    def choose_elsewhere(
        self, inputs: ChoiceInputs, choose: Callable[[ChoiceInputs], Choice | None]
    ) -> Choice | None:
        """Return a choice among the other versions if the candidate is not needed.

        It is for a request that the candidate engines would answer too late: these
        few engines may be full while the others have room.
        """
        rollout = self._context.rollouts.of(self._service)
        if rollout is None or not self._permission(rollout, inputs).is_optional:
            return None
        return choose(_limit(inputs, rollout, _others(rollout)))

    def allows_migration(self, software_version: str | None) -> bool:
        """Return whether a run of a version may migrate.

        While the candidate is observed, its runs stay where they are: the attempts that
        the share leaves are needed for runs that broke.
        """
        rollout = self._context.rollouts.of(self._service)
        if rollout is None or rollout.policy.phase is not RolloutPhase.OBSERVING:
            return True
        return software_version != rollout.policy.version

    def allows(self, target: Target) -> bool:
        """Return whether a run that was stopped for a migration may go on there."""
        rollout = self._context.rollouts.of(self._service)
        if rollout is None:
            return True
        policy = rollout.policy
        if not rollout.is_candidate(target):
            is_closed = policy.phase is RolloutPhase.COMPLETED or policy.is_closing
            return rollout.is_other(target) and not is_closed
        is_shifting = policy.phase is RolloutPhase.SHIFTING and policy.share > 0.0
        return is_shifting or policy.phase is RolloutPhase.COMPLETED

    def on_sent(self, target: Target) -> None:
        """Record that the request is sent to a target."""
        is_new, self._is_new = self._is_new, False
        rollout = self._context.rollouts.of(self._service)
        if rollout is None:
            return
        self._hold(rollout, not rollout.is_candidate(target))
        if rollout.on_sent(target, is_new and self._earns):
            self._context.metrics.count(
                "berylnotch_rollout_exposed_total", Label("service", self._service)
            )

    def close(self) -> None:
        """Record that the request has ended."""
        self._has_ended = True
        rollout = self._context.rollouts.of(self._service)
        if rollout is not None:
            self._hold(rollout, is_elsewhere=False)

    def _hold(self, rollout: Rollout, is_elsewhere: bool) -> None:
        """Record whether the request may still go on at another version."""
        if is_elsewhere and not self._has_ended:
            rollout.held_elsewhere.add(self)
        else:
            rollout.held_elsewhere.discard(self)

    def _permission(self, rollout: Rollout, inputs: ChoiceInputs) -> _Permission:
        policy, targets = rollout.policy, self._context.targets.of(self._service)
        if policy.phase is RolloutPhase.COMPLETED:
            if rollout.ranked_candidates(targets):
                return _Permission(rollout.is_successor)
            # The service runs versions that no rollout brought. A refusal of all its
            # requests would be worse.
            return _any_version(rollout)
        if policy.phase is RolloutPhase.ROLLED_BACK or policy.share <= 0.0:
            return _others(rollout)
        if policy.is_closing:
            return _Permission(rollout.is_successor)
        needed = inputs.software_version
        if needed is not None and needed != policy.version:
            return _others(rollout)
        if policy.phase is RolloutPhase.SHIFTING:
            return self._permission_shifting(rollout, inputs)
        return self._permission_observing(rollout, inputs)

    def _permission_observing(
        self, rollout: Rollout, inputs: ChoiceInputs
    ) -> _Permission:
        is_step = rollout.policy.is_step
        if self._context.rollouts.is_leader_silent(inputs.now, is_step):
            return _others(rollout)
        observed = self._observed_ids(rollout, inputs)
        is_continuation = inputs.software_version is not None
        is_covered = (
            rollout.covers_continuation(self._is_new)
            if is_continuation
            else rollout.covers(self._is_new)
        )
        # A request that comes while the candidate has no usable engine adds nothing.
        # Otherwise all routers would send requests once the first engine is up.
        if not is_covered or not observed:
            return evolve(_others(rollout), earns=bool(observed))
        return _Permission(
            lambda target: target.target_id in observed,
            is_candidate_only=True,
            earns=True,
            is_optional=True,
        )

    def _permission_shifting(
        self, rollout: Rollout, inputs: ChoiceInputs
    ) -> _Permission:
        if inputs.software_version is None:
            if self._context.rollouts.is_leader_silent(inputs.now):
                return _any_version(rollout)
            candidates = rollout.ranked_candidates(self._targets)
            if not any(
                t.is_usable(inputs.now) and is_suitable(t, inputs) for t in candidates
            ):
                return _any_version(rollout)
        return _Permission(rollout.is_candidate, is_candidate_only=True)

    @property
    def _targets(self) -> Collection[Target]:
        return self._context.targets.of(self._service)

    def _observed_ids(self, rollout: Rollout, inputs: ChoiceInputs) -> set[str]:
        """Return the engines that get requests while observing, empty if all are full.

        A full engine keeps its place, so that the load of an observed engine does not
        spread to the next one, which would hide a version that is bad under load.
        """
        observed, limit = [], rollout.policy.engines
        for target in rollout.ranked_candidates(self._targets):
            if len(observed) >= limit:
                break
            if _is_observable(target, inputs):
                observed.append(target)
        if not any(target.is_usable(inputs.now) for target in observed):
            return set()
        return {target.target_id for target in observed}


def observe_attempt(
    context: EntryContext, routed: RoutedRequest, choice: Choice, sent_at: float
) -> AttemptEvidence | None:
    """Return the recorder of an attempt, None if no rollout of its service is active.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    choice : Choice
        Target of the attempt.
    sent_at : float
        Boot time at which the attempt begins.
    """
    target = choice.target
    rollout = context.rollouts.of(target.listed.service)
    if rollout is None or not rollout.policy.phase.is_active:
        return None
    target_id = target.target_id if rollout.is_candidate(target) else OTHER_VERSIONS
    expected_s = choice.delay_ms / 1000
    return AttemptEvidence(rollout.evidence, routed, target_id, expected_s, sent_at)


def _others(rollout: Rollout) -> _Permission:
    return _Permission(rollout.is_other)


def _any_version(rollout: Rollout) -> _Permission:
    if not rollout.banned_versions:
        return _Permission(None)
    return _Permission(lambda target: not rollout.is_banned(target))


def _limit(
    inputs: ChoiceInputs, rollout: Rollout, permission: _Permission
) -> ChoiceInputs:
    is_source = permission.allows
    if permission.is_candidate_only:
        # The caches of the versions are compatible. The engines of the other versions
        # hold the prompts, and most candidate engines hold few.
        is_source = rollout.is_other
    return evolve(inputs, is_permitted=permission.allows, is_preferred_source=is_source)


def _is_observable(target: Target, inputs: ChoiceInputs) -> bool:
    """Return whether a candidate engine is up, although it may be full at present."""
    if target.is_leaving or target.is_loading or target.is_emptying:
        return False
    if target.ejection.is_blocked(inputs.now) or target.is_avoided(inputs.now):
        return False
    return is_suitable(target, inputs)
