@0xd3c1f0a2b4e59687;
# The messages between daemons.  codec.py encodes and decodes the types of messages.py
# by this schema; fields that are added later must leave the numbers of the others.

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;            # Unix time of the sender's start, in milliseconds
  recipient @2 :Text;                # empty while the sender does not know its id
  recipientIncarnation @3 :UInt64;   # the run of the recipient that may accept it
  sequence @4 :UInt64;               # grows with each message of the sender
  body :union {
    hello @5 :Hello;
    ping @6 :Ping;
    ack @7 :Ping;
    pingRequest @8 :PingRequest;
    demand @9 :Demand;
    grant @10 :Grant;
    fetch @11 :Fetch;
    answer @12 :Answer;
    notice @13 :Ping;
    relayedAck @14 :PingRequest;
  }
}

struct Hello {
  self @0 :MemberNews;
  isAnswer @1 :Bool;
  newestKnown @2 :UInt64;            # highest incarnation seen of the recipient, or 0
}

struct Ping {
  round @0 :UInt64;
  version @1 :UInt64;                # of the configuration in force at the sender
  digest @2 :Data;
  members @3 :List(MemberNews);
  leaving @4 :List(LeavingNews);
}

struct PingRequest {
  round @0 :UInt64;
  target @1 :Text;
}

struct MemberNews {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  status @3 :UInt8;
  peerAddress @4 :Text;
  entryAddress @5 :Text;
  failureDomain @6 :Text;
  region @7 :Text;
}

struct LeavingNews {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
}

struct Demand {
  round @0 :UInt64;
  entries @1 :List(Entry);
  struct Entry {
    endpointId @0 :Text;
    wanted @1 :UInt16;
    inUse @2 :UInt16;
    completed @3 :UInt32;            # since the daemon started, modulo 2^32
    trouble @4 :UInt8;
    incarnation @5 :UInt64;          # of the endpoint, as the sender knows it
    held @6 :UInt16;
    wasCold @7 :Bool;
  }
}

struct Grant {
  round @0 :UInt64;                  # of the demand; 0 lowers earlier grants
  lifetimeMilliseconds @1 :UInt32;   # counts from the sending of the demand
  entries @2 :List(Entry);
  struct Entry {
    endpointId @0 :Text;
    slots @1 :UInt16;
    isSteward @2 :Bool;
    load @3 :Load;
  }
}

struct Load {
  incarnation @0 :UInt64;
  phase @1 :UInt8;
  ageMilliseconds @2 :UInt32;
  running @3 :UInt32;
  waiting @4 :UInt32;
  prefillTokensWaiting @5 :UInt64;
  cacheTokensUsed @6 :UInt64;
  models @7 :List(Text);
}

struct Fetch {
  nonce @0 :UInt64;
  what @1 :UInt8;
}

struct Answer {
  nonce @0 :UInt64;
  version @1 :UInt64;
  document @2 :Data;                 # compressed
  members @3 :List(MemberNews);
}
