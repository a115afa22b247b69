@0xb7c1f4a2d95e6038;
# The messages between gateways. They hold ages and waits in milliseconds instead of
# moments, since the clocks of different VMs are never compared.

struct EndpointRecord {
  endpointId @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  coldMs @6 :UInt32;
  born @7 :Int64;
}

# The changes since the state whose digest is the base. For base 0 the records are all
# there are.
struct EndpointChanges {
  base @0 :UInt64;
  records @1 :List(EndpointRecord);
  goneIds @2 :List(Text);
}

# A snapshot of the endpoints. The epoch is the store's, -1 if it is not known. The changes are a compressed EndpointChanges message, or
# empty if nothing has changed or the records are to be requested.
struct EndpointReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  digest @2 :UInt64;
  changes @3 :Data;
  epoch @4 :Int64 = -1;
}

# The document in force is empty if it is the one that was read.
struct OperatorReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  document @2 :Data;
  domainsOut @3 :List(Text);
  epoch @4 :Int64 = -1;
  documentInForce @5 :Data;
}

# Requests a permit to send an endpoint one request from its steward. The limit is the
# one that the endpoint's answers have named, limitAgeMs ago; the rate also takes the
# declared limit into account. Both are in requests a second.
struct PermitRequest {
  number @0 :UInt64;
  endpointId @1 :Text;
  rate @2 :Float64;
  liveShare @3 :Float64;
  longestWaitMs @4 :UInt32;
  limit @5 :Float64;
  limitAgeMs @6 :UInt32;
}

struct PermitResponse {
  number @0 :UInt64;
  granted @1 :Bool;
  waitMs @2 :UInt32;
  freeMs @3 :UInt32;
}

# The daemons to which the receiver forwards a message: none, its failure domain, or
# that and the other failure domains' relays.
enum Scope {
  nobody @0;
  domain @1;
  fleet @2;
}

# The fields heartbeats and batch hold rows; see cranberrywick.gateway.heartbeat_rows.
# The fields knowledge, reach, demand, crashes and answers have a row for each of them;
# see cranberrywick.gateway.knowledge_rows, cranberrywick.gateway.reach_rows,
# cranberrywick.gateway.demand_rows, cranberrywick.gateway.crash_rows and
# cranberrywick.gateway.answer_rows.
struct Message {
  scope @4 :Scope;
  union {
    heartbeats @0 :Data;
    endpoints @1 :EndpointReading;
    operatorWanted @2 :Void;
    operator @3 :OperatorReading;
    batch @5 :Data;
    endpointsWanted @6 :Void;
    permitRequest @7 :PermitRequest;
    permitResponse @8 :PermitResponse;
  }
  knowledge @9 :Data;
  reach @10 :Data;
  demand @11 :Data;
}

# A Message without the field demand, with the same numbers otherwise. A message whose
# demand is empty is written as this one, since an unused field would take up space in
# each of them; it is read as a Message.
struct MessageWithoutDemand {
  scope @4 :Scope;
  union {
    heartbeats @0 :Data;
    endpoints @1 :EndpointReading;
    operatorWanted @2 :Void;
    operator @3 :OperatorReading;
    batch @5 :Data;
    endpointsWanted @6 :Void;
    permitRequest @7 :PermitRequest;
    permitResponse @8 :PermitResponse;
  }
  knowledge @9 :Data;
  reach @10 :Data;
}

# A Message with the field crashes, with the same numbers otherwise. Only a message that
# states crashes, and nothing of answers, is written as this one.
struct MessageWithCrashes {
  scope @4 :Scope;
  union {
    heartbeats @0 :Data;
    endpoints @1 :EndpointReading;
    operatorWanted @2 :Void;
    operator @3 :OperatorReading;
    batch @5 :Data;
    endpointsWanted @6 :Void;
    permitRequest @7 :PermitRequest;
    permitResponse @8 :PermitResponse;
  }
  knowledge @9 :Data;
  reach @10 :Data;
  demand @11 :Data;
  crashes @12 :Data;
}

# A MessageWithCrashes with the field answers, with the same numbers otherwise. Only a
# message that states something of answers is written as this one; all are read as such.
struct MessageWithAnswers {
  scope @4 :Scope;
  union {
    heartbeats @0 :Data;
    endpoints @1 :EndpointReading;
    operatorWanted @2 :Void;
    operator @3 :OperatorReading;
    batch @5 :Data;
    endpointsWanted @6 :Void;
    permitRequest @7 :PermitRequest;
    permitResponse @8 :PermitResponse;
  }
  knowledge @9 :Data;
  reach @10 :Data;
  demand @11 :Data;
  crashes @12 :Data;
  answers @13 :Data;
}

# What a daemon states about a request that it forwards to a peer. The peer may send it
# to none of the excluded endpoints, nor to those of the domains that are out. Where it
# ends, the daemon itself does so after the remaining time.
struct ForwardedRequest {
  daemonId @0 :Text;
  elapsedMs @1 :UInt32;
  remainingMs @2 :UInt32;
  version @3 :UInt64;
  service @4 :Text;
  sentIds @5 :List(Text);
  excludedIds @6 :List(Text);
  domainsOut @7 :List(Text);
  lastEventId @8 :Text;
  weightsVersion @9 :Text;
  ends @10 :Bool;
}

# What the peer states about its answer: the endpoint that it sent the request to, empty
# if it sent it to none, and why it has no answer of that endpoint, empty if it has.
struct ForwardedAnswer {
  endpointId @0 :Text;
  born @1 :Int64;
  failure @2 :Text;
  reason @3 :Text;
  mayHaveRun @4 :Bool;
  atFaultId @5 :Text;
  retryAfterMs @6 :UInt32;
  message @7 :Text;
}
