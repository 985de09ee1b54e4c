@0xd3f1c6b0a8e94c21;
# The objects that operators declare: services, models with their versions and adapters, workspaces and batch jobs.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");

struct Service {
  name @0 :Text;
  kind @1 :Kind;
  checksFencing @2 :Bool;
  # Whether the service's endpoints reject orders with an outdated fencing number.
  unrepeatableRoutes @3 :List(Text);
  # Routes whose calls must not be repeated, as "METHOD /path/prefix".
  firstTokenTargetMs @4 :UInt32 = 1500;
  tokenGapTargetMs @5 :UInt32 = 27;

  enum Kind {
    engine @0;
    plain @1;
  }
}

struct Model {
  name @0 :Text;
  service @1 :Text;
  version @2 :Text;
  adapters @3 :List(Text);
  replicasPerDomain @4 :UInt32;
  # Number of endpoints in each failure domain that should load the model; 0 means every endpoint of the service.
}

struct Workspace {
  name @0 :Text;
  keyDigests @1 :List(Text);
  # SHA-256 digests, in hexadecimal, of the keys that callers present.
  worth @2 :Float64 = 1;
  maxInFlight @3 :UInt32;
}

struct Configuration {
  revision @0 :UInt64;
  requestId @1 :Text;
  author @2 :Text;
  services @3 :List(Service);
  models @4 :List(Model);
  workspaces @5 :List(Workspace);
}

struct ConfigurationDelta {
  # The changes of a revision relative to an earlier one. Changed items replace those of the same name; new items are
  # appended.
  base @0 :UInt64;
  changed @1 :Configuration;
  removedServices @2 :List(Text);
  removedModels @3 :List(Text);
  removedWorkspaces @4 :List(Text);
}

struct ConfigurationDocument {
  union {
    whole @0 :Configuration;
    delta @1 :ConfigurationDelta;
  }
}

struct BatchJob {
  id @0 :Text;
  # If empty, it is derived from the workspace and the items, so that a resent job gets the same id.
  workspace @1 :Text;
  items @2 :Data;
  # One JSON object per line: {"custom_id", "method", "url", "body"}.
  completionWindowMs @3 :UInt64;
  unrepeatable @4 :Bool;
}
