"""Asks every daemon which version of the configuration it has in force."""

import json
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from urllib3.exceptions import HTTPError

from cranberrywick.decisions.membership import Member
from cranberrywick.external.bounded_http import bounded_pool_manager
from cranberrywick.fields import FIELD_ERRORS

__all__ = ["fetch_versions"]

# Number of parallel requests. Only an operator's command makes them, so that a few
# threads for a few seconds are enough: 320 daemons that answer within a round trip
# take well under a second.
THREADS = 16
# Time limit for each request, in seconds.
TIMEOUT_SECONDS = 1.0

# Version reported for a daemon that does not answer or has no configuration.
NO_VERSION = 0


def fetch_versions(members: Iterable[Member]) -> dict[str, int]:
    """Return the version in force by daemon id; 0 for a daemon that does not answer.

    Each daemon is asked itself, because the version that another daemon has last
    received from it may be out of date.
    """
    members = list(members)
    with ThreadPoolExecutor(THREADS, "versions") as threads:
        versions = threads.map(_fetch_version, members)
        return {
            member.daemon_id: version
            for member, version in zip(members, versions, strict=True)
        }


def _fetch_version(member: Member) -> int:
    try:
        with bounded_pool_manager() as pool:
            answer = pool.request(
                "GET",
                f"http://{member.entry_address}/readyz",
                timeout=TIMEOUT_SECONDS,
                retries=False,
                redirect=False,
            )
        return int(json.loads(answer.data)["configuration_version"])
    except (HTTPError, OSError, *FIELD_ERRORS):
        return NO_VERSION
