"""Chains of the shared prompt prefixes that a caller declares as parts.

Prompts form a prefix tree: an engine reuses the longest sequence of leading parts
that its cache holds. The last part of a prompt is not shared with other requests.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from attrs import field, frozen

#: Least shared tokens for which a prompt is routed to an engine that caches them.
#: Prefill of this many tokens takes longer than an engine's usual step.
MIN_HOME_TOKENS = 1024

#: Limits on the parts of a prompt and on the tokens of one part; a prompt above either
#: limit is placed without prefix affinity.
MAX_PARTS = 64
MAX_PART_TOKENS = 4_000_000

#: Most levels of a chain; of a longer chain the deepest levels are kept. Each level is
#: looked up and reported to other routers.
MAX_LEVELS = 6


@frozen
class PromptPart:
    """A part of a prompt that other requests may share, with its token count."""

    part_id: str
    tokens: int


@frozen
class SharedPrefix:
    """A shared prefix: one shared part with all parts before it.

    Parameters
    ----------
    path : str
        Identities of the parts up to and including this part, joined by slashes.
    tokens : int
        Tokens of this part.
    total : int
        Tokens from the start of the prompt to the end of this part.
    """

    path: str
    tokens: int
    total: int


@frozen
class PrefixChain:
    """Prefixes that a prompt shares with other prompts.

    Parameters
    ----------
    levels : tuple of SharedPrefix
        Shared prefixes that are long enough for prefix affinity, shallowest first.
    path : str
        Identities of all shared parts, joined by slashes; empty without shared
        parts.
    shared_tokens : int
        Tokens of all shared parts.
    problem : str
        Reason for which the parts were rejected; empty if they were accepted.
    """

    levels: tuple[SharedPrefix, ...] = ()
    path: str = ""
    shared_tokens: int = 0
    problem: str = ""
    _hashes: dict[str, tuple[int, ...]] = field(factory=dict, eq=False, repr=False)

    @property
    def has_affinity(self) -> bool:
        """Whether the prompt has prefix affinity to the engines that cache a level."""
        return bool(self.levels)

    @property
    def store_key(self) -> str:
        """Key that selects the KV store of the prompt; empty without levels.

        Prompts with the same first level have the same key, and so the same store.
        """
        return self.levels[0].path if self.levels else ""

    def total(self, count: int) -> int:
        """Return the tokens of the first ``count`` levels."""
        return self.levels[count - 1].total if count else 0

    def prefix_hashes(self, salt: str) -> tuple[int, ...]:
        """Return a 32-bit hash for each level.

        With 10,000 prompts, the chance that any two have the same hash is about 1 in
        90. After a collision a router expects a cache hit at an engine that lacks the
        prompt, and the engine computes the prefill.

        Parameters
        ----------
        salt : str
            Distinguishes cache entries that must not be shared.
        """
        hashes = self._hashes.get(salt)
        if hashes is None:
            hashes = tuple(hash_prefix(salt, level.path) for level in self.levels)
            self._hashes[salt] = hashes
        return hashes


#: Chain of a prompt without shared parts.
EMPTY_CHAIN = PrefixChain()


def hash_prefix(salt: str, path: str) -> int:
    """Return the 32-bit hash that identifies a shared prefix of a prompt."""
    return zlib.crc32(f"{salt} {path}".encode())


def make_prefix_chain(parts: Sequence[PromptPart], prompt_tokens: int) -> PrefixChain:
    """Return the chain of a prompt's parts.

    Invalid parts give a chain without levels, so the prompt has no prefix affinity and
    any target may get it.

    Parameters
    ----------
    parts : sequence of PromptPart
        Parts in order; the last part is not shared.
    prompt_tokens : int
        Tokens of the whole prompt; 0 if unknown.
    """
    if len(parts) < 2:
        return EMPTY_CHAIN
    problem = _find_problem(parts, prompt_tokens)
    if problem:
        return PrefixChain(problem=problem)
    levels, part_ids, total = [], [], 0
    for part in parts[:-1]:
        part_ids.append(part.part_id)
        total += part.tokens
        if total >= MIN_HOME_TOKENS and part.tokens:
            levels.append(SharedPrefix("/".join(part_ids), part.tokens, total))
    return PrefixChain(tuple(levels[-MAX_LEVELS:]), "/".join(part_ids), total)


def _find_problem(parts: Sequence[PromptPart], prompt_tokens: int) -> str:
    """Return the reason for which the parts are invalid, empty if they are valid."""
    if len(parts) > MAX_PARTS:
        return f"{len(parts)} parts exceed the limit"
    if len({part.part_id for part in parts}) < len(parts):
        return "duplicate part identity"
    if any(part.tokens > MAX_PART_TOKENS for part in parts):
        return "a part exceeds the token limit"
    total = sum(part.tokens for part in parts)
    if prompt_tokens and total != prompt_tokens:
        return f"parts have {total} tokens, the prompt {prompt_tokens}"
    return ""
