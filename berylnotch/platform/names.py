"""Names of the platform's HTTP headers."""

from __future__ import annotations

REQUEST_ID = "Berylnotch-Request-Id"
DEADLINE_MS = "Berylnotch-Deadline-Ms"
#: Identifiers and token counts of a prompt's parts. Despite its name, the header does
#: not hold the hash of a whole prefix.
PROMPT_PARTS = "Berylnotch-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
#: Id of the request that brought the first event of the stream that a caller resumes.
RESUMES = "Resumes"
#: Proof that a target generated the response.
SERVER_STAMP = "Berylnotch-Server-Stamp"
ORGANISATION = "Berylnotch-Tenant"
EXPECTED_TARGET = "Berylnotch-Expect-Instance"
NOT_RUN = "Berylnotch-Not-Executed"
RETRY_AFTER = "Retry-After"
TARGET_ID = "Berylnotch-Instance-Id"
#: Set to 1 in every response of an engine that is draining before it leaves the fleet.
LEAVING = "Server-Leaving"
#: Requests per second that an engine accepts from all routers together, in every
#: response while the engine has such a limit.
LIMIT = "Server-Limit"
MODEL = "Berylnotch-Model"
TOKEN_COUNTS = "Berylnotch-Token-Count"
CACHE_SALT = "Berylnotch-Cache-Salt"
#: Priority at the engine, from 0 (served first) to 9.
PRIORITY = "Berylnotch-Request-Priority"
CACHE_FETCH = "Berylnotch-Kv-Fetch"
CACHE_SAVE = "Berylnotch-Kv-Save"
#: Location of a stopped run's KV cache, sent to the engine that resumes the run.
RUN_ORIGIN = "Kv-From"
#: Version of the weights that generated a response; a single number.
WEIGHTS_VERSION = "Berylnotch-Weight-Versions"
EXPECTED_WEIGHTS = "Berylnotch-Expect-Version"
LENGTH_HINT = "Berylnotch-Length-Hint"
AUTHORIZATION = "Authorization"
AUTHORIZATION_SCHEME = "Bearer"

#: Headers, in lower case, that only this system may set and that are removed from
#: callers' requests. The last four control an engine's KV cache, which callers must not
#: control.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        ORGANISATION,
        EXPECTED_TARGET,
        CACHE_SALT,
        PRIORITY,
        CACHE_FETCH,
        CACHE_SAVE,
        EXPECTED_WEIGHTS,
        "Content-Length",
        "Berylnotch-Pin-Ms",
        "Berylnotch-Kv-Hold",
        "Berylnotch-Kv-Backup",
        RUN_ORIGIN,
    )
)
