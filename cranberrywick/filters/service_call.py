"""Read a call of a plain service and whether it may be run more than once."""

from urllib.parse import quote

from cranberrywick.errors import MissingIdempotencyKey, UnknownService
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange
from cranberrywick.model import Work

__all__ = ["SERVICES_PREFIX", "ServiceCallFilter"]

SERVICES_PREFIX = "/v1/services/"


class ServiceCallFilter(Filter):
    """Turns a call under ``/v1/services/NAME/`` into `Work`."""

    def enter(self, exchange: Exchange) -> None:
        """Set the class, the targets, the work and the request for the endpoint.

        Raises `UnknownService` for a service or call that the configuration does not
        list, and `MissingIdempotencyKey` for a call that is not idempotent and has no
        key.
        """
        name, _, rest = exchange.path.removeprefix(SERVICES_PREFIX).partition("/")
        service = exchange.configuration.services_by_name.get(name)
        if service is None:
            raise UnknownService(f"no service is named {name!r}")
        path = "/" + rest
        call = service.call_for(exchange.method, path)
        if call is None:
            # The method does not show whether an unlisted call is idempotent: a GET
            # with side effects could be run twice, while treating every call as unsafe
            # would demand keys for mere reads.
            raise UnknownService(f"the service has no call {exchange.method} {path}")
        exchange.idempotent = call.idempotent
        if not exchange.idempotent and not exchange.headers_by_name.get(
            "idempotency-key"
        ):
            raise MissingIdempotencyKey("send 'Idempotency-Key' with this call")
        targets = exchange.configuration.targets_by_class[service.class_name]
        exchange.class_name = service.class_name
        exchange.targets = targets
        exchange.endpoint_path = _request_target(path, exchange.query)
        exchange.endpoint_body = exchange.body
        exchange.work = Work(
            work_id=exchange.request_id,
            organisation=exchange.organisation,
            class_name=service.class_name,
            model="",
            prompt_tokens=0,
            max_output_tokens=0,
            arrival=exchange.arrived,
            first_token_deadline=exchange.arrived + targets.first_token_seconds,
            deadline=exchange.arrived + targets.completion_seconds,
            idempotent=exchange.idempotent,
            service=name,
        )


def _request_target(path: str, query: str) -> str:
    """Return the request target for the endpoint, percent-encoded.

    WSGI passes the path decoded, with one character for each byte. If it were sent
    unencoded, a space in a segment would break the request line of a call that has
    already been claimed.
    """
    quoted = quote(path.encode("latin-1"))
    return f"{quoted}?{query}" if query else quoted
