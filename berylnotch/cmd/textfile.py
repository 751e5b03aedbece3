"""Local copies of the operators' text, with the revision on which they are based.

`berylnotch show --output FILE` writes the revision into the first line, so that
`berylnotch apply FILE` can detect that somebody else changed the text in the meantime.
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
    """A local copy of the operators' text.

    Parameters
    ----------
    path : str
        File name.
    content : str
        The whole file, which is parsed so that line numbers of problems match the file.
    text : str
        The operators' text, without the line that holds the revision.
    base_revision : int
        Revision on which the copy is based, or -1 if the file does not state it.
    """

    path: str
    content: str
    text: str
    base_revision: int


def read_text_file(path: str) -> TextFile:
    """Read a local copy and its base revision.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not UTF-8.
    """
    content = read(path)
    match = _HEADER.match(content)
    if match is None:
        return TextFile(path, content, content, -1)
    return TextFile(path, content, content[match.end() :], int(match[1]))


def write_text_file(path: str, text: str, revision: int) -> None:
    """Write a local copy atomically.

    Raises
    ------
    ConfigurationError
        If the file cannot be written.
    """
    destination = Path(path)
    temporary_path = destination.with_name(destination.name + ".part")
    try:
        temporary_path.write_text(f"; berylnotch revision {revision}\n{text}", "utf-8")
        os.replace(temporary_path, destination)
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path) from error
