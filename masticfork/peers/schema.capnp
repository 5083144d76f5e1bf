@0xc1f4d7a9b3e85d62;
# Messages between entry hosts. Fields and union members may only be appended;
# a number is never removed or reused.

struct Hello {
  # First frame of each side of a connection. Not signed itself, but the key that
  # signs every later frame is derived from both hellos.
  protocol @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  nonce @3 :Data;
}

struct Envelope {
  protocol @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  keyId @4 :Text;
  hmac @5 :Data;
  content @6 :Data;
  # An encoded Message.
}

struct Message {
  correlation @0 :UInt64;
  # Matches a reply to its request; 0 if no reply is expected.
  isReply @1 :Bool;
  body :union {
    proof @2 :Proof;
    heartbeat @3 :Heartbeat;
    hosts @4 :Hosts;
    configuration @5 :Configuration;
    configurationRequest @6 :ConfigurationRequest;
    keepBills @7 :KeepBills;
    keepBillsAck @8 :KeepBillsAck;
    billsWritten @9 :BillsWritten;
    evidence @10 :Evidence;
    declined @11 :Declined;
    goodbye @12 :Goodbye;
    configurationNumber @13 :ConfigurationNumber;
  }
}

struct Proof {
  unused @0 :Void;
}

struct KnownHost {
  host @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  address @3 :Text;
  incarnation @4 :UInt64;
  state @5 :UInt8;
  leaving @6 :Bool;
  ageMilliseconds @7 :UInt32;
  configurationNumber @8 :UInt64;
}

struct Heartbeat {
  zone @0 :Text;
  region @1 :Text;
  address @2 :Text;
  leaving @3 :Bool;
  configurationNumber @4 :UInt64;
  known @5 :List(KnownHost);
}

struct Hosts {
  known @0 :List(KnownHost);
}

struct Configuration {
  number @0 :UInt64;
  submissionId @1 :Text;
  manifest @2 :Data;
  # The manifest's text, compressed with zlib.
}

struct ConfigurationRequest {
  newerThan @0 :UInt64;
}

struct ConfigurationNumber {
  number @0 :UInt64;
}

struct KeepBills {
  batchId @0 :Text;
  bills @1 :Data;
}

struct KeepBillsAck {
  batchId @0 :Text;
  kept @1 :Bool;
}

struct BillsWritten {
  batchId @0 :Text;
}

struct Evidence {
  topic @0 :Text;
  payload @1 :Data;
}

struct Declined {
  reason @0 :Text;
}

struct Goodbye {
  unused @0 :Void;
}
