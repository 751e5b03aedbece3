"""Which shared prompts engines and stores probably hold, as this router saw."""

from __future__ import annotations

from collections import OrderedDict

#: Prompts that are remembered at once.
MAX_PROMPTS = 4096

#: Seconds for which a prompt that was saved to a store counts as held there.
SAVED_S = 25.0


class PromptMemory:
    """Recent saves of shared prompts, by cache salt and part."""

    def __init__(self) -> None:
        self._saved: OrderedDict[tuple[str, str], float] = OrderedDict()

    def should_save(self, now: float, salt: str, part_id: str) -> bool:
        """Tell whether a prompt should be saved, and remember that it is."""
        key = (salt, part_id)
        saved_at = self._saved.get(key)
        if saved_at is not None and now - saved_at < SAVED_S:
            return False
        self._saved[key] = now
        self._saved.move_to_end(key)
        while len(self._saved) > MAX_PROMPTS:
            self._saved.popitem(last=False)
        return True

    def forget(self) -> None:
        """Forget all saves, as after the loss of a store."""
        self._saved.clear()
