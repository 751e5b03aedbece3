"""Header names of the platform."""

from __future__ import annotations

REQUEST_ID = "Berylnotch-Request-Id"
DEADLINE_MS = "Berylnotch-Deadline-Ms"
#: Identifiers and sizes of a prompt's parts; no hash of a whole prefix.
PROMPT_PARTS = "Berylnotch-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
#: Proof that a target made the answer.
STAMP = "Berylnotch-Server-Stamp"
ORGANISATION = "Berylnotch-Tenant"
EXPECT_TARGET = "Berylnotch-Expect-Instance"
NOT_RUN = "Berylnotch-Not-Executed"
RETRY_AFTER = "Retry-After"
TARGET_ID = "Berylnotch-Instance-Id"
#: Set to 1 in every answer of an engine that is leaving.
LEAVING = "Server-Leaving"
MODEL = "Berylnotch-Model"
TOKEN_COUNTS = "Berylnotch-Token-Count"
CACHE_SALT = "Berylnotch-Cache-Salt"
#: Urgency at the engine, 0 to 9 with 0 first.
PRIORITY = "Berylnotch-Request-Priority"
CACHE_FETCH = "Berylnotch-Kv-Fetch"
CACHE_SAVE = "Berylnotch-Kv-Save"
#: Version of the weights that made an answer; a single number.
#: Where the memory of a stopped run is, for the engine at which it goes on.
RUN_ORIGIN = "Kv-From"
WEIGHTS_VERSION = "Berylnotch-Weight-Versions"
EXPECT_WEIGHTS = "Berylnotch-Expect-Version"
LENGTH_HINT = "Berylnotch-Length-Hint"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Bearer"

#: Headers of a caller that only this system may set, in lower case; the last
#: ones steer an engine's memory, which callers have no say in.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        ORGANISATION,
        EXPECT_TARGET,
        CACHE_SALT,
        PRIORITY,
        CACHE_FETCH,
        CACHE_SAVE,
        EXPECT_WEIGHTS,
        "Content-Length",
        "Berylnotch-Pin-Ms",
        "Berylnotch-Kv-Hold",
        "Berylnotch-Kv-Backup",
        RUN_ORIGIN,
    )
)
