"""The request that a plain service receives for a call.

Guards against a call that the service receives with another path or query.
"""

from cranberrywick.configuration.document import EMPTY, Service, ServiceCall
from cranberrywick.filters.exchange import CallerStream, Exchange
from cranberrywick.filters.service_call import ServiceCallFilter
from cranberrywick.model import ClassTargets

CONFIGURATION = EMPTY._replace(
    targets_by_class={"booking": ClassTargets(1.0, 10.0, 0.1, 0.95)},
    services_by_name={
        "slots": Service("slots", "booking", (ServiceCall("GET", "/of/{team}", True),))
    },
)


def test_path_and_query_reach_the_service_as_they_were_sent():
    """Guards against a path or query that is changed on the way to the service.

    The server decodes the path and splits off the query. Without the query, the
    service would answer for other slots than those of the day that the caller asked
    for; with an unencoded space in the path the call could not be sent.
    """
    exchange = Exchange(
        request_id="r1",
        method="GET",
        path="/v1/services/slots/of/Tartu \u00c3\u00bc",
        query="day=7&open=%20",
        headers_by_name={},
        body=b"",
        arrived=0.0,
        configuration=CONFIGURATION,
        caller_gone=lambda: False,
        caller=CallerStream(lambda status, headers: lambda data: None),
    )

    ServiceCallFilter().enter(exchange)

    assert exchange.endpoint_path == "/of/Tartu%20%C3%BC?day=7&open=%20"
