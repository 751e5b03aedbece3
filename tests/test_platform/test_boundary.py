"""Only berylnotch/platform may contain names of the platform's protocol.

A name that is used elsewhere would have to be changed there too when the platform
changes its protocol.
"""

import re
from pathlib import Path

import berylnotch

ROOT = Path(berylnotch.__file__).parent

#: Names of the platform's protocol that have no other use. Headers are recognised by
#: their prefix.
WIRE_NAMES = re.compile(
    r"Berylnotch-[A-Z]|pathPrefix|trafficSplit|routeType|timeoutMs|targetLatencyMs"
    r"|apiKeys|ratePerS|uncachedTokens|kvStoreAddr|seqNo|expectedRev|coldRemainingMs"
    r"|ttlS\b|pageToken|frontendAddr|cloudApi|/readyz|/resolve|/version-put"
    r"|/instances|/kv-events|bootEpoch"
)

#: Headers of this project's own protocol, which have the same prefix.
OWN_HEADERS = re.compile(r"Berylnotch-(Claim|Run|Organisation|Event|Key)")


def test_wire_names_stay_in_the_platform_folder():
    found = []
    for path in ROOT.rglob("*.py"):
        if path.relative_to(ROOT).parts[0] in ("platform",):
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if WIRE_NAMES.search(OWN_HEADERS.sub("", line)):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert found == []
