@0xb2f0c4d86a19e753;
# Datagram by which entry hosts report their state to each other. For compatibility,
# new fields are only added at the end, and field numbers are never reused.

struct Digest {
  host @0 :Text;
  # Start time of the sender's process in Unix milliseconds; greater is newer.
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  # Version of the configuration in force, 0 if there is none.
  configuration @3 :Int64;
  # Store revision up to which the sender knows the servers, in the era below.
  servers @4 :Int64;
  # Only builds before `packedLoads` fill it in.
  loads @5 :List(Load);
  rollouts @6 :List(Rollout);
  # Only builds before `packedSessions` fill it in.
  sessions @7 :List(Session);
  # Whether the message holds only the loads that changed since the previous message;
  # everything else is unchanged.
  partial @8 :Bool;
  # Hashes of the incarnations of servers that announced that they leave.
  leaving @9 :List(UInt32);
  # Rises by one each time the store is restored from an older copy.
  era @10 :UInt32;
  # The fields below concern the objects that hosts copy from each other. A partial
  # digest leaves `zone` empty, and `kinds` if they are the same as in the one before.
  zone @11 :Text;
  kinds @12 :List(Kind);
  updates @13 :List(Update);
  # Whether the sender follows the store itself, and whether its calls fail.
  reading @14 :Bool;
  storeFailing @15 :Bool;
  # The loads as a sequence of little-endian records of 10 bytes with the fields of
  # `Load`: reading a list of structs takes ten times as long.
  packedLoads @16 :Data;
  # The sessions likewise, in records of 8 bytes with the fields of `Session`.
  packedSessions @17 :Data;
  # Prompt parts and whole requests that were unanswered at servers when these crashed,
  # as records of 11 bytes: hashes of the suspect and of the server's incarnation, the
  # part's index in its prompt (UInt8, 255 for a request) and the milliseconds since the
  # crash (UInt16).
  packedCrashes @18 :Data;
  # Answers that show suspects, or servers, to be sound: records of 8 bytes with the hash
  # and the milliseconds since the answer.
  packedAnswered @19 :Data;
  # Suspects in quarantine: records of 8 bytes with the hash and the milliseconds left.
  packedQuarantined @20 :Data;
  # Request rates that servers have named: records of 12 bytes with the hash of the
  # server's incarnation (UInt32), requests a second, 0 for a limit that was lifted
  # (Float32), and the milliseconds since the response that told it (UInt32).
  packedLimits @21 :Data;
  # Hashes of the suspected requests that the sender runs at a server.
  running @22 :List(UInt32);
  # Port at which the sender connects other hosts to servers, 0 for none, and whether it
  # reaches no server itself.
  transitPort @23 :UInt16;
  cutOff @24 :Bool;
  # Servers that fall over if they refuse too many requests: records of 12 bytes with the
  # hash of the server's incarnation (UInt32), the refusals within a second that it bears
  # (UInt16, 65535 for any number), those of the sender (UInt16), and the milliseconds
  # since the response that told it (UInt32).
  packedBrittle @25 :Data;
  # Servers that have just started or recovered and are slow: records of 8 bytes with the
  # hash of the server's incarnation (UInt32) and the milliseconds since the latest late
  # or failed answer to the sender (UInt32).
  packedPaced @26 :Data;
  # Work by team: records of 16 bytes with the hashes of the service, and of the service
  # and the team (UInt32), and the recent and the usual work (Float32).
  packedTeamWork @27 :Data;
  # Evidence on the speeds of servers: records of 8 bytes with the hash of the server's
  # incarnation (UInt32), the mean logarithm of measured to expected times in thousandths
  # (Int16), and the number of answers in tenths (UInt16).
  packedSpeeds @28 :Data;
  # Version of what the sender tells; 0 for builds that tell none.
  protocol @29 :UInt16;
  # Milliseconds until entries of servers have returned that are missing since the store
  # has failed, plus 1; 0 if the sender does not read the store or does not tell.
  entriesReturn @30 :UInt16;
}

struct Kind {
  era @0 :UInt32;
  revision @1 :Int64;
  # Hash of the objects' names and revisions.
  fingerprint @2 :UInt32;
}

struct Update {
  # Index in the list `kinds`.
  kind @0 :UInt8;
  era @1 :UInt32;
  # Revision after which the changes begin, and the one up to which they reach.
  since @2 :Int64;
  revision @3 :Int64;
  # Changes as compressed JSON.
  changes @4 :Data;
}

struct Load {
  # Hash of the server's identifier.
  server @0 :UInt32;
  running @1 :UInt16;
  # Prompt tokens not yet processed by the server, weighted by model, in thousands.
  pending @2 :UInt16;
  # Running calls, weighted by model, in tenths.
  busy @3 :UInt16;
}

struct Rollout {
  service @0 :Text;
  # Store revision at which the rollout was created.
  created @1 :Int64;
  # Only builds before `packedNew` read the counts below.
  newGood @2 :Float32;
  newBad @3 :Float32;
  oldGood @4 :Float32;
  oldBad @5 :Float32;
  # Requests still running on the old version; filled in by builds before `packedNew`.
  oldRunning @6 :UInt16;
  newSlow @7 :Float32;
  oldSlow @8 :Float32;
  # Whether the host has judged the new version bad.
  judgedBad @9 :Bool;
  # Answers of the new version in little-endian records of 16 bytes: hashes of the server
  # and of the route (UInt32), seconds since the order, good, bad and slow answers
  # (UInt16 each). The highest bit of the seconds tells whether the requests were sent
  # while the version got all of its service.
  packedNew @10 :Data;
  # Answers of the old version in records of 16 bytes: hash of the route (UInt32), good,
  # bad and slow answers (Float32).
  packedOld @11 :Data;
  # Usual times of the old version in records of 5 bytes: index of the model's size
  # (UInt8) and the time relative to the expected one (Float32).
  packedTimes @12 :Data;
  # Usual times between the events of its streams in the same form: a key of the model
  # size and the load, and seconds.
  packedPaces @13 :Data;
  # Milliseconds since the order and one more, 0 if the sender knows no steady clock's.
  age @14 :UInt32;
  # Identifies the start of the sender, and what it has sent since the order: requests,
  # those that the new version got or may get soon, and requests a second to come.
  # `start` is 0 if the sender does not tell them.
  start @15 :UInt32;
  sent @16 :UInt32;
  sentToNew @17 :UInt32;
  rate @18 :Float32;
  # Requests that the new version may still get from the sender once the calls on the old
  # version were repeated.
  left @19 :Float32;
}

struct Session {
  # Hash of the service name and the session identifier.
  key @0 :UInt32;
  # Hash of the version that serves the session.
  version @1 :UInt32;
}
