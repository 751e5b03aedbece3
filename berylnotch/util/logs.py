"""Configuration of loguru for one line of key=value pairs per event."""

from __future__ import annotations

import sys

from loguru import logger

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} "
    "process={extra[process]} {message}"
)


def configure_logging(process: str, level: str = "INFO") -> None:
    """Write events of level ``level`` and above to standard error.

    Parameters
    ----------
    process : str
        Kind and name of the process, such as ``router/entry-1``.
    level : str, default="INFO"
        Lowest level that is written.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    # The variables shown with a traceback could hold a key or a prompt.
    logger.add(sys.stderr, format=_FORMAT, level=level, diagnose=False, backtrace=False)
