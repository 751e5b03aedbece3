"""The leader's picture of all targets: the list, and what engines said since."""

from __future__ import annotations

from collections.abc import Collection

from attrs import define, evolve

from berylnotch.group.messages import LeavingWord, TargetEntry
from berylnotch.membership.listing import ListedTarget, ModelVersion

#: Seconds for which an engine's own word on its weights counts more than the list,
#: which is some seconds late.
OWN_WORD_S = 4.0


#: Part of a service's targets that are taken as leaving by the word of one router
#: alone; a router that is wrong must not empty a service.
ONE_WORD_PART = 0.5

#: Routers by whose words any number of targets is taken as leaving.
SURE_WORDS = 2


@define
class _Loaded:
    """Version that an engine reported, and when."""

    version: ModelVersion
    at: float
    born_ms: int


class TargetBoard:
    """Targets by identity, with the loads of weights that are under way."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedTarget] = {}
        self._loaded: dict[str, _Loaded] = {}
        self._loading: dict[str, float] = {}
        self._emptying: set[str] = set()
        #: Routers that heard a target say that it leaves, by its identity and start.
        self._words: dict[LeavingWord, set[str]] = {}
        self._listed_at: float | None = None

    @property
    def listed_at(self) -> float | None:
        """When the list was last read in full, None if never."""
        return self._listed_at

    @property
    def loading(self) -> frozenset[str]:
        """Targets that load weights."""
        return frozenset(self._loading)

    def targets(self) -> tuple[ListedTarget, ...]:
        """Return all targets, with the weights that they are known to run."""
        return tuple(self._listed[name] for name in sorted(self._listed))

    def entries(self) -> tuple[TargetEntry, ...]:
        """Return all targets for routers."""
        leaving = self.leaving_by_word()
        return tuple(
            TargetEntry(
                evolve(target, is_leaving=True)
                if target.target_id in leaving
                else target,
                target.target_id in self._loading,
                target.target_id in self._emptying,
            )
            for target in self.targets()
        )

    def said_leaving(self, router: str, words: Collection[LeavingWord]) -> bool:
        """Take what a router heard from targets; return whether any of it is new."""
        before = self.leaving_by_word()
        for word in words:
            if self._is_current(word):
                self._words.setdefault(word, set()).add(router)
        return self.leaving_by_word() != before

    def leaving_by_word(self) -> frozenset[str]:
        """Return the targets that said that they leave, whatever the list shows."""
        if not self._words:
            return frozenset()
        sure, unsure = set(), {}
        for word, routers in self._words.items():
            if len(routers) >= SURE_WORDS:
                sure.add(word.target_id)
            else:
                service = self._listed[word.target_id].service
                unsure.setdefault(service, []).append(word.target_id)
        for service, targets in unsure.items():
            count = sum(t.service == service for t in self._listed.values())
            sure.update(sorted(targets)[: int(count * ONE_WORD_PART)])
        return frozenset(sure)

    def target(self, target_id: str) -> ListedTarget | None:
        """Return a target, or None if it is not listed."""
        return self._listed.get(target_id)

    def listed(self, now: float, targets: tuple[ListedTarget, ...]) -> None:
        """Take a whole list."""
        self._listed_at = now
        self._listed = {t.target_id: self._correct(now, t) for t in targets}
        for name in self._loading.keys() - self._listed.keys():
            del self._loading[name]
        self._emptying &= self._listed.keys()
        for name in self._loaded.keys() - self._listed.keys():
            del self._loaded[name]
        for word in tuple(self._words):
            if not self._is_current(word):
                del self._words[word]

    def began_emptying(self, target_id: str) -> None:
        """Note that a target shall get no more long requests, since it loads next."""
        self._emptying.add(target_id)

    def began_loading(self, now: float, target_id: str) -> None:
        """Note that a target gets an order to load weights."""
        self._emptying.discard(target_id)
        self._loading[target_id] = now

    def stopped_loading(self, target_id: str) -> None:
        """Note that a target serves again, whatever its weights."""
        self._emptying.discard(target_id)
        self._loading.pop(target_id, None)

    def loaded(self, now: float, target_id: str, version: ModelVersion) -> None:
        """Note the weights that an engine reports."""
        target = self._listed.get(target_id)
        if target is None:
            return
        self._loaded[target_id] = _Loaded(version, now, target.born_ms)
        self._listed[target_id] = self._correct(now, target)

    def _is_current(self, word: LeavingWord) -> bool:
        """Tell whether a word is of the target as it is listed now."""
        target = self._listed.get(word.target_id)
        return target is not None and target.born_ms == word.born_ms

    def _correct(self, now: float, target: ListedTarget) -> ListedTarget:
        known = self._loaded.get(target.target_id)
        if known is None or known.born_ms != target.born_ms:
            return target
        if now - known.at > OWN_WORD_S:
            return target
        others = (m for m in target.models if m.name != known.version.name)
        return evolve(target, models=(*others, known.version))
