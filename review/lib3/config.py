"""Parts of a config in the form of the platform's pages, with values of the sheet."""

from __future__ import annotations

import json

from review.lib3.fleet import HOST, KEY, MODEL

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

#: Service of language model engines, as in the example of the pages.
MODEL_SERVICE = {
    "name": "sake-llm",
    "healthPath": "/healthz",
    "maxConns": 360,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kvCapacityTokens": 154411,
        "tokenBytes": 35136,
        "linkMbps": 740000.0,
        "models": [{"name": MODEL}],
    },
}

APP_SERVICE = {
    "name": "order-desk",
    "healthPath": "/healthz",
    "maxConns": 96,
    "protocol": "h1",
    "tls": False,
}


def stream_route(prefix: str) -> dict:
    """Return a route like that of the sheet's contract reviews."""
    return {
        "name": "review",
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": "streaming",
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "sake-llm",
        "maxAttempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gapTargetMs": 250,
    }


def booking_route(prefix: str) -> dict:
    """Return a route like that of the sheet's bookings."""
    return {
        "name": "book",
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "order-desk",
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def tenant(name: str = "alpha", key: str = KEY, is_isolated: bool = False) -> dict:
    """Return a tenant with the limits of the pages' example."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "unit": "tokens",
        "uncachedTokens": 200,
        "isolated": is_isolated,
        "ratePerS": 54139,
        "burst": 112296,
    }


def config_body(
    version: int, routes: list[dict], services: list[dict], tenants: list[dict]
) -> bytes:
    """Return the body of `PUT /config`."""
    values = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": tenants,
    }
    return json.dumps(values).encode()
