@0xb7c1f4a2d95e6038;
# What gateways tell one another. Ages and times to come are in milliseconds: clocks
# of different VMs are never compared.

struct Job {
  endpointId @0 :Text;
  heldTokens @1 :UInt32;
  ageMs @2 :UInt32;
  firstEventMs @3 :UInt32;
  writing @4 :Bool;
  helper @5 :Bool;
  gapMs @6 :UInt32;
  value @7 :Float32;
  readingMs @8 :UInt32;
  dueMs @9 :Int32;
  joint @10 :Bool;
}

struct EnginePace {
  endpointId @0 :Text;
  pace @1 :Float32;
}

struct Heartbeat {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  peerAddress @3 :Text;
  entryAddress @4 :Text;
  failureDomain @5 :Text;
  leaving @6 :Bool;
  operatorRevision @7 :UInt64;
  operatorAgeMs @8 :UInt32;
  jobs @9 :List(Job);
  operatorDigest @10 :UInt64;
  slowEngines @11 :List(EnginePace);
}

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

# With isSame, no records follow: they are those that the digest stands for.
struct EndpointReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  records @2 :List(EndpointRecord);
  digest @3 :UInt64;
  isSame @4 :Bool;
}

# The document is compressed with zlib.
struct OperatorReading {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  document @2 :Data;
  domainsOut @3 :List(Text);
}

# A heartbeat that is passed on, with the time since it was heard.
struct PassedOn {
  ageMs @0 :UInt32;
  heartbeat @1 :Heartbeat;
}

# Heartbeats that a relay has collected; without any it says that the relay lives.
struct Batch {
  relayId @0 :Text;
  relayDomain @1 :Text;
  heartbeats @2 :List(PassedOn);
}

# To whom the receiver passes a message on.
enum Scope {
  nobody @0;
  domain @1;
  fleet @2;
}

struct Message {
  scope @4 :Scope;
  union {
    heartbeat @0 :Heartbeat;
    endpoints @1 :EndpointReading;
    operatorWanted @2 :Void;
    operator @3 :OperatorReading;
    batch @5 :Batch;
  }
}
