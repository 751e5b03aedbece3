"""A local copy of the operators' text, with the revision that it came from.

`berylnotch show --output FILE` writes the revision into the first line, so that
`berylnotch apply FILE` can tell when somebody else changed the text meanwhile.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.fleet.text import read

_HEADER = re.compile(r"; berylnotch revision ([0-9]{1,15})\n")


@frozen
class TextFile:
    """A local copy.

    Parameters
    ----------
    path : str
        File name.
    whole : str
        The file's content, by which mistakes are located.
    text : str
        The operators' text, without the line that holds the revision.
    base_revision : int
        Revision that was edited, or -1 if the file does not tell.
    """

    path: str
    whole: str
    text: str
    base_revision: int


def read_text_file(path: str) -> TextFile:
    """Read a local copy.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not UTF-8.
    """
    whole = read(path)
    match = _HEADER.match(whole)
    if match is None:
        return TextFile(path, whole, whole, -1)
    return TextFile(path, whole, whole[match.end() :], int(match[1]))


def write_text_file(path: str, text: str, revision: int) -> None:
    """Write a local copy, in one step.

    Raises
    ------
    ConfigurationError
        If the file cannot be written.
    """
    target = Path(path)
    part = target.with_name(target.name + ".part")
    try:
        part.write_text(f"; berylnotch revision {revision}\n{text}", "utf-8")
        os.replace(part, target)
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path) from error
