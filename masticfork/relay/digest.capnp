@0xb2f0c4d86a19e753;
# What entry hosts tell each other of their work. Fields are only ever added, at the
# end; a number once used keeps its meaning.

struct Digest {
  host @0 :Text;
  # Start of the sender's process, in Unix milliseconds: a greater one is newer.
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  # Version of the configuration in force, 0 for none.
  configuration @3 :Int64;
  # The store's revision up to which the sender knows the servers.
  servers @4 :Int64;
  loads @5 :List(Load);
  rollouts @6 :List(Rollout);
  sessions @7 :List(Session);
  # Only loads that changed since the message before; all else stands as told.
  partial @8 :Bool;
}

struct Load {
  # Hash of the server's identifier.
  server @0 :UInt32;
  running @1 :UInt16;
  # Prompt tokens that the server has not read yet, weighed by the model, in thousands.
  pending @2 :UInt16;
  # Running calls, weighed by the model, in tenths.
  busy @3 :UInt16;
}

struct Rollout {
  service @0 :Text;
  # The store's revision of the order.
  created @1 :Int64;
  newGood @2 :Float32;
  newBad @3 :Float32;
  oldGood @4 :Float32;
  oldBad @5 :Float32;
  # Requests that still run on the old version.
  oldRunning @6 :UInt16;
  newSlow @7 :Float32;
  oldSlow @8 :Float32;
}

struct Session {
  # Hash of the service and the session.
  key @0 :UInt32;
  # Hash of the version that it runs on.
  version @1 :UInt32;
}
