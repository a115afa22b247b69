"""Reading of an endpoint's load report."""

import json
from collections.abc import Callable
from http.client import HTTPException

from urllib3.exceptions import HTTPError

from cranberrywick.endpoints.connection import connect
from cranberrywick.errors import AnswerLost, InvalidConfiguration
from cranberrywick.fields import FIELD_ERRORS, check_name, integer, number
from cranberrywick.model import Endpoint, EndpointLoad, EndpointPhase

__all__ = ["fetch_load"]

# Deadline of one load request, in seconds.  A report that takes longer is of little
# use, since the next one is due by then.
LOAD_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 64 * 1024
# Largest count in a report; the messages between daemons have no larger one.
MAX_COUNT = 2**31 - 1
# Longest age of a report, in seconds.
MAX_AGE_SECONDS = 1e6


def fetch_load(endpoint: Endpoint, clock: Callable[[], float]) -> EndpointLoad:
    """Request the endpoint's load report from ``/v1/load`` and return it.

    The report's time is in seconds of ``clock``.  Raises a `CranberrywickError` when
    there is no report within `LOAD_TIMEOUT_SECONDS` or it is malformed.
    """
    asked_at = clock()
    connection = connect(endpoint.address, asked_at + LOAD_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/v1/load", preload_content=False)
        response = connection.getresponse()
        fields = json.loads(response.read(MAX_REPORT_BYTES))
        return _read_report(endpoint.endpoint_id, fields, asked_at)
    except (OSError, HTTPException, HTTPError) as error:
        raise AnswerLost(f"no load report: {error}") from error
    except (InvalidConfiguration, *FIELD_ERRORS) as error:
        raise AnswerLost(f"malformed load report: {error!r}") from error
    finally:
        connection.close()


def _read_report(endpoint_id: str, fields: dict, asked_at: float) -> EndpointLoad:
    # The age counts from the request, not from the arrival of the answer, so that a
    # report delayed by the network does not look more recent than it is.
    return EndpointLoad(
        endpoint_id=endpoint_id,
        incarnation=integer(fields, "incarnation", least=0),
        phase=EndpointPhase(fields["phase"]),
        reported_at=asked_at
        - max(0.0, number(fields, "age_seconds", 0.0, most=MAX_AGE_SECONDS)),
        running=_count(fields, "running"),
        waiting=_count(fields, "waiting"),
        prefill_tokens_waiting=_count(fields, "prefill_tokens_waiting"),
        cache_tokens_used=_count(fields, "cache_tokens_used"),
        models=tuple(
            check_name(model, "a model") for model in fields.get("models", ())
        ),
    )


def _count(fields: dict, key: str) -> int:
    return int(number(fields, key, 0, least=0, most=MAX_COUNT))
