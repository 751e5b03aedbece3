"""Chains of a prompt's parts, which requests share from the first part on.

Prompts are trees: an engine goes on from the longest run of parts, from the first
on, that it holds. The last part of a prompt is its own.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from attrs import field, frozen

#: Shared tokens from which it pays to send a prompt to an engine that holds them:
#: reading so many takes longer than an engine's usual step.
MIN_HOME_TOKENS = 1024

#: Most parts of a prompt that is placed by its parts, and most tokens of one.
MAX_PARTS = 64
MAX_PART_TOKENS = 4_000_000

#: Deepest shared levels that are looked for and told to other routers.
MAX_LEVELS = 6


@frozen
class PromptPart:
    """A part of a prompt, which other requests may share, and its tokens."""

    part_id: str
    tokens: int


@frozen
class Level:
    """A shared part with all before it.

    Parameters
    ----------
    path : str
        Identities of the parts up to this one.
    tokens : int
        Tokens of this part.
    total : int
        Tokens from the first part to the end of this one.
    """

    path: str
    tokens: int
    total: int


@frozen
class Chain:
    """What a prompt shares with others.

    Parameters
    ----------
    levels : tuple of Level
        Levels worth a trip to an engine that holds them, the shallowest first.
    path : str
        Identities of all shared parts, empty if there are none.
    shared_tokens : int
        Tokens of all shared parts.
    problem : str
        Why the parts were not taken, empty if they were.
    """

    levels: tuple[Level, ...] = ()
    path: str = ""
    shared_tokens: int = 0
    problem: str = ""
    _marks: dict[str, tuple[int, ...]] = field(factory=dict, eq=False, repr=False)

    @property
    def has_home(self) -> bool:
        """Whether the prompt belongs to engines that hold a part of it."""
        return bool(self.levels)

    @property
    def store_key(self) -> str:
        """What decides which store keeps the prompt, alike for a whole branch."""
        return self.levels[0].path if self.levels else ""

    def total(self, count: int) -> int:
        """Return the tokens of the first so many levels."""
        return self.levels[count - 1].total if count else 0

    def marks(self, salt: str) -> tuple[int, ...]:
        """Return a mark of 32 bits for each level.

        Two of 10,000 prompts have the same mark in one of 90 fleets; a router then
        expects a prompt where it is not, and the engine reads it.

        Parameters
        ----------
        salt : str
            What separates cache entries that may not be shared.
        """
        marks = self._marks.get(salt)
        if marks is None:
            marks = tuple(prompt_mark(salt, level.path) for level in self.levels)
            self._marks[salt] = marks
        return marks


#: Chain of a prompt that shares nothing.
NO_CHAIN = Chain()


def prompt_mark(salt: str, path: str) -> int:
    """Return 32 bits that stand for a shared beginning of a prompt."""
    return zlib.crc32(f"{salt} {path}".encode())


def make_chain(parts: Sequence[PromptPart], prompt_tokens: int) -> Chain:
    """Return the chain of a prompt's parts.

    Parts that make no sense are of no use for placing, and the prompt goes anywhere.

    Parameters
    ----------
    parts : sequence of PromptPart
        Parts in order, the last one the prompt's own.
    prompt_tokens : int
        Tokens of the whole prompt.
    """
    if len(parts) < 2:
        return NO_CHAIN
    problem = _problem(parts, prompt_tokens)
    if problem:
        return Chain(problem=problem)
    levels, names, total = [], [], 0
    for part in parts[:-1]:
        names.append(part.part_id)
        total += part.tokens
        if total >= MIN_HOME_TOKENS and part.tokens:
            levels.append(Level("/".join(names), part.tokens, total))
    return Chain(tuple(levels[-MAX_LEVELS:]), "/".join(names), total)


def _problem(parts: Sequence[PromptPart], prompt_tokens: int) -> str:
    """Return what is wrong with the parts of a prompt, empty if nothing is."""
    if len(parts) > MAX_PARTS:
        return f"{len(parts)} parts"
    if len({part.part_id for part in parts}) < len(parts):
        return "a part comes twice"
    if any(part.tokens > MAX_PART_TOKENS for part in parts):
        return "a part is too long"
    total = sum(part.tokens for part in parts)
    if prompt_tokens and total != prompt_tokens:
        return f"parts have {total} tokens, the prompt {prompt_tokens}"
    return ""
