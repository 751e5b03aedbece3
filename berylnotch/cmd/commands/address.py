"""Command ``berylnotch address``: ask which entry VM a caller should use."""

from __future__ import annotations

import argparse
import json
from urllib.parse import urlencode

import pycurl

from berylnotch.cmd.exits import EXIT_FAILURE, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.control.protocol import ShowRequest, StatusRequest
from berylnotch.errors import GatewayError, TransportError
from berylnotch.fleet.text import parse
from berylnotch.gateways.errors import InvalidResponseError
from berylnotch.gateways.http import read_head
from berylnotch.gateways.response_checker import ResponseChecker, watch_response

HELP = "ask which entry VM a caller should use"
DESCRIPTION = """\
Ask a router, as a caller does and without a key, which entry VMs to use and how
long to keep the answer. Without --router, the entry VMs are asked until one
answers."""

_TIMEOUT_S = 5
_OK = 200


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("--router", default="", metavar="IP:PORT")
    parser.add_argument("--organisation", default="", metavar="NAME")
    parser.add_argument("--failure-domain", default="", metavar="NAME")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    query = {"organisation": args.organisation, "failure-domain": args.failure_domain}
    answer = _ask_until_answered(_routers(args.router, session), query)
    addresses = answer["addresses"]
    if session.is_json:
        session.write_json(answer)
    elif addresses:
        session.write("\n".join(addresses))
        session.write(f"; keep for {answer['keep_s']} s")
    else:
        session.write("no entry VM takes callers now")
    return EXIT_OK if addresses else EXIT_FAILURE


def _routers(router: str, session: Session) -> tuple[str, ...]:
    if router:
        return (router,)
    reported = [line.http_address for line in session.call(StatusRequest()).routers]
    # A new leader has not yet received heartbeats of all routers, but the operators'
    # text names all of them.
    text = session.call(ShowRequest()).text
    configured = [vm.address for vm in parse(text).vms.values()] if text else []
    return tuple(dict.fromkeys([*reported, *configured]))


def _ask_until_answered(routers: tuple[str, ...], query: dict[str, str]) -> dict:
    failure = "no entry VM is known"
    for router in routers:
        try:
            return _ask(f"http://{router}/berylnotch/address?{urlencode(query)}")
        except (GatewayError, ValueError) as error:
            failure = f"{router}: {error}"
    raise TransportError(failure)


def _ask(url: str) -> dict:
    checker, body, failure = ResponseChecker("GET"), bytearray(), ""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.TIMEOUT, _TIMEOUT_S)
    curl.setopt(pycurl.PROXY, "")
    watch_response(curl, checker, body.extend)
    try:
        curl.perform()
    except pycurl.error as error:
        failure = str(error)
    finally:
        curl.close()
    problem = checker.find_problem(failure, is_request_received=True)
    if problem:
        raise InvalidResponseError(problem)
    status = read_head(checker.head_lines, frozenset()).status
    if status != _OK:
        raise InvalidResponseError(f"unexpected response status {status}")
    answer = json.loads(body)
    if not isinstance(answer, dict) or "addresses" not in answer:
        raise ValueError("the answer is not an address answer")
    return answer
