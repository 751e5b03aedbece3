"""Command ``berylnotch completion``: print a shell completion script."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.parsers import choices, options, subparsers
from berylnotch.cmd.session import Session

HELP = "print completion for the shell"
DESCRIPTION = """\
Print a completion script. For bash, add to ~/.bashrc:
source <(berylnotch completion bash)"""

_SCRIPT = """\
_berylnotch() {{
    local word=${{COMP_WORDS[COMP_CWORD]}} command="" item
    for item in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
        case $item in
            -*) ;;
            *) command=$item; break ;;
        esac
    done
    local words
    case $command in
        "") words="{commands} {options}" ;;
{cases}
        *) words="" ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "$word"))
    [ ${{#COMPREPLY[@]}} -gt 0 ] || COMPREPLY=($(compgen -f -- "$word"))
}}
complete -o filenames -F _berylnotch berylnotch"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("shell", choices=("bash",))


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    session.write(completion_script(args.parser))
    return EXIT_OK


def completion_script(parser: argparse.ArgumentParser) -> str:
    """Return the bash completion script for a parser."""
    commands = subparsers(parser)
    cases = [
        f'        {name}) words="{" ".join(_completion_words(command))}" ;;'
        for name, command in commands.items()
    ]
    return _SCRIPT.format(
        commands=" ".join(commands),
        options=" ".join(options(parser)),
        cases="\n".join(cases),
    )


def _completion_words(parser: argparse.ArgumentParser) -> list[str]:
    words = [*choices(parser), *options(parser)]
    for command in subparsers(parser).values():
        words.extend(options(command))
    return list(dict.fromkeys(words))
