"""Router for language-model traffic with long shared prompts."""

from __future__ import annotations

import _signal
import sys

__version__ = "0.1.0"

#: Modules and scripts of the processes that reload their settings on SIGHUP, or ignore
#: it. They import for about 0.1 s before their handlers are installed.
_DAEMONS = {
    "berylnotch.cmd.daemon",
    "berylnotch.cmd.fleetd",
    "berylnotch-fleetd",
    "berylnotchd",
}

# The default action of SIGHUP would end a process that starts. `_signal` is built in;
# importing `signal` takes some milliseconds.
if any(arg.rpartition("/")[2] in _DAEMONS for arg in sys.orig_argv):
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
