"""Converts message bodies to and from the schema's fields, and checks their limits.

`write_body` returns the fields from which the Cap'n Proto library builds a message,
`read_body` the body of a message that the library has read. A body beyond the limits
raises `PeerMessageInvalid`, ValueError or IndexError; the codec turns all of them into
`PeerMessageInvalid`.
"""

from collections.abc import Callable
from typing import Any

from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.grants import DemandEntry
from cranberrywick.decisions.membership import Member, Status
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.model import EndpointLoad, EndpointPhase
from cranberrywick.peers.messages import (
    Ack,
    Answer,
    Body,
    Demand,
    Fetch,
    FetchKind,
    Grant,
    GrantEntry,
    Hello,
    LeavingEndpoint,
    Notice,
    Ping,
    PingRequest,
    RelayedAck,
)

__all__ = ["checked_text", "read_body", "write_body"]

# Longest text in a message, in characters.
MAX_TEXT_CHARACTERS = 256
# Most items in a list in a message.
MAX_ITEMS = 4096

# The phase with index n is sent as the number n, so the order must not change.
PHASES = tuple(EndpointPhase)


def write_body(body: Body) -> tuple[str, dict]:
    """Return the name of the body's member in the schema's union, and its fields."""
    name, write, _ = _CONVERTERS_BY_TYPE[type(body)]
    return name, write(body)


def read_body(body: Any) -> Body:
    """Return the body in the member of the union that is set."""
    name = str(body.which())
    return _READERS_BY_NAME[name](getattr(body, name))


def checked_text(value: str) -> str:
    """Return ``value``. Raises `PeerMessageInvalid` if it is too long."""
    if len(value) > MAX_TEXT_CHARACTERS:
        raise PeerMessageInvalid("a text in the message is too long")
    return value


def _checked_items(values: Any) -> Any:
    # Empty structures take up no bytes, so the frame's size doesn't limit their list.
    if len(values) > MAX_ITEMS:
        raise PeerMessageInvalid("a list in the message is too long")
    return values


def _write_member(member: Member) -> dict:
    return {
        "daemonId": member.daemon_id,
        "incarnation": member.incarnation,
        "revision": member.revision,
        "status": int(member.status),
        "peerAddress": member.peer_address,
        "entryAddress": member.entry_address,
        "failureDomain": member.failure_domain,
        "region": member.region,
    }


def _read_member(member: Any) -> Member:
    return Member(
        daemon_id=checked_text(member.daemonId),
        incarnation=member.incarnation,
        revision=member.revision,
        status=Status(member.status),
        peer_address=checked_text(member.peerAddress),
        entry_address=checked_text(member.entryAddress),
        failure_domain=checked_text(member.failureDomain),
        region=checked_text(member.region),
    )


def _read_members(members: Any) -> tuple[Member, ...]:
    return tuple(_read_member(member) for member in _checked_items(members))


def _write_hello(hello: Hello) -> dict:
    return {
        "self": _write_member(hello.member),
        "isAnswer": hello.is_answer,
        "newestKnown": hello.newest_known,
    }


def _read_hello(hello: Any) -> Hello:
    # The schema's field for the sender's own record is called ``self``.
    return Hello(_read_member(hello.self), hello.isAnswer, hello.newestKnown)


def _write_ping(ping: Ping) -> dict:
    return {
        "round": ping.round,
        "version": ping.version,
        "digest": ping.digest,
        "members": [_write_member(member) for member in ping.members],
        "leaving": [
            {"endpointId": item.endpoint_id, "incarnation": item.incarnation}
            for item in ping.leaving
        ],
    }


def _ping_reader(kind: type[Ping]) -> Callable[[Any], Ping]:
    def read(ping: Any) -> Ping:
        return kind(
            round=ping.round,
            version=ping.version,
            digest=bytes(ping.digest),
            members=_read_members(ping.members),
            leaving=tuple(
                LeavingEndpoint(checked_text(item.endpointId), item.incarnation)
                for item in _checked_items(ping.leaving)
            ),
        )

    return read


def _write_ping_request(request: PingRequest) -> dict:
    return {"round": request.round, "target": request.target}


def _ping_request_reader(kind: type[PingRequest]) -> Callable[[Any], PingRequest]:
    return lambda request: kind(request.round, checked_text(request.target))


def _write_demand(demand: Demand) -> dict:
    return {
        "round": demand.round,
        "entries": [
            {
                "endpointId": entry.endpoint_id,
                "wanted": entry.wanted,
                "inUse": entry.in_use,
                "held": entry.held,
                "wasCold": entry.was_cold,
                "completed": entry.completed,
                "trouble": int(entry.trouble),
                "incarnation": entry.incarnation,
            }
            for entry in demand.entries
        ],
    }


def _read_demand(demand: Any) -> Demand:
    entries = tuple(
        DemandEntry(
            endpoint_id=checked_text(entry.endpointId),
            wanted=entry.wanted,
            in_use=entry.inUse,
            held=entry.held,
            was_cold=entry.wasCold,
            completed=entry.completed,
            trouble=Trouble(entry.trouble),
            incarnation=entry.incarnation,
        )
        for entry in _checked_items(demand.entries)
    )
    return Demand(demand.round, entries)


def _write_grant(grant: Grant) -> dict:
    return {
        "round": grant.round,
        "lifetimeMilliseconds": int(grant.lifetime * 1000),
        "entries": [_write_grant_entry(entry) for entry in grant.entries],
    }


def _write_grant_entry(entry: GrantEntry) -> dict:
    fields = {
        "endpointId": entry.endpoint_id,
        "slots": entry.slots,
        "isSteward": entry.is_steward,
    }
    if entry.load is not None:
        fields["load"] = _write_load(entry.load)
    return fields


def _write_load(load: EndpointLoad) -> dict:
    return {
        "incarnation": load.incarnation,
        "phase": PHASES.index(load.phase),
        "ageMilliseconds": int(load.reported_at * 1000),
        "running": load.running,
        "waiting": load.waiting,
        "prefillTokensWaiting": load.prefill_tokens_waiting,
        "cacheTokensUsed": load.cache_tokens_used,
        "models": list(load.models),
    }


def _read_grant(grant: Any) -> Grant:
    entries = tuple(_read_grant_entry(entry) for entry in _checked_items(grant.entries))
    return Grant(grant.round, grant.lifetimeMilliseconds / 1000, entries)


def _read_grant_entry(entry: Any) -> GrantEntry:
    endpoint_id = checked_text(entry.endpointId)
    load = _read_load(endpoint_id, entry.load) if entry._has("load") else None
    return GrantEntry(endpoint_id, entry.slots, entry.isSteward, load)


def _read_load(endpoint_id: str, load: Any) -> EndpointLoad:
    return EndpointLoad(
        endpoint_id=endpoint_id,
        incarnation=load.incarnation,
        phase=PHASES[load.phase],
        reported_at=load.ageMilliseconds / 1000,
        running=load.running,
        waiting=load.waiting,
        prefill_tokens_waiting=load.prefillTokensWaiting,
        cache_tokens_used=load.cacheTokensUsed,
        models=tuple(checked_text(model) for model in _checked_items(load.models)),
    )


def _write_fetch(fetch: Fetch) -> dict:
    return {"nonce": fetch.nonce, "what": int(fetch.kind)}


def _read_fetch(fetch: Any) -> Fetch:
    return Fetch(fetch.nonce, FetchKind(fetch.what))


def _write_answer(answer: Answer) -> dict:
    return {
        "nonce": answer.nonce,
        "version": answer.version,
        "document": answer.document,
        "members": [_write_member(member) for member in answer.members],
    }


def _read_answer(answer: Any) -> Answer:
    return Answer(
        nonce=answer.nonce,
        version=answer.version,
        document=bytes(answer.document),
        members=_read_members(answer.members),
    )


_CONVERTERS_BY_TYPE = {
    Hello: ("hello", _write_hello, _read_hello),
    Ping: ("ping", _write_ping, _ping_reader(Ping)),
    Ack: ("ack", _write_ping, _ping_reader(Ack)),
    Notice: ("notice", _write_ping, _ping_reader(Notice)),
    PingRequest: (
        "pingRequest",
        _write_ping_request,
        _ping_request_reader(PingRequest),
    ),
    RelayedAck: ("relayedAck", _write_ping_request, _ping_request_reader(RelayedAck)),
    Demand: ("demand", _write_demand, _read_demand),
    Grant: ("grant", _write_grant, _read_grant),
    Fetch: ("fetch", _write_fetch, _read_fetch),
    Answer: ("answer", _write_answer, _read_answer),
}
_READERS_BY_NAME = {name: read for name, _, read in _CONVERTERS_BY_TYPE.values()}
