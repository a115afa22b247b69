@0xb7c1f4a2d95e6038;
# What gateways tell one another. Ages and times to come are in milliseconds: clocks
# of different VMs are never compared.

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

# What has become of the records that the base stands for; all records, for base 0.
struct EndpointChanges {
  base @0 :UInt64;
  records @1 :List(EndpointRecord);
  goneIds @2 :List(Text);
}

# The changes, an EndpointChanges message, are left out where there are none.
struct EndpointReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  digest @2 :UInt64;
  changes @3 :Data;
}

struct OperatorReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  document @2 :Data;
  domainsOut @3 :List(Text);
}

# Asks the steward of an endpoint for a permit to send it one request. The limit is what
# answers have named, as of so long ago; the rate also counts what is declared. Both are
# in requests a second.
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

# To whom the receiver passes a message on.
enum Scope {
  nobody @0;
  domain @1;
  fleet @2;
}

# Heartbeats are rows; see cranberrywick.gateway.heartbeat_rows.
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
}
