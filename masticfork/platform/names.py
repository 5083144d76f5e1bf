"""Headers, object kinds and paths of the platform's interface."""

# HTTP headers, in lower case because names are compared in lower case.
ATTEMPT_ID = b"x-masticfork-attempt-id"
DEADLINE_MS = b"x-masticfork-deadline-ms"
PROMPT_PREFIX = b"x-masticfork-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# Signature that a server adds to its response; a response without it does not come
# from the server.
SERVER_STAMP = b"x-masticfork-server-stamp"
# The platform's term for a team is tenant.
TEAM = b"x-masticfork-tenant"
EXPECT_INSTANCE = b"x-masticfork-expect-instance"
NOT_EXECUTED = b"x-masticfork-not-executed"
RETRY_AFTER = b"retry-after"
# A server that is about to exit sets it to 1 in all its responses.
SERVER_LEAVING = b"server-leaving"
# Requests a second that the server takes from all hosts together.
SERVER_LIMIT = b"server-limit"
# Refusals within a second beyond which the server falls over.
SERVER_BRITTLE = b"server-brittle"
MODEL = b"x-masticfork-model"
# `PROMPT,OUTPUT`: the number of prompt tokens and the maximum number of output tokens,
# not the number of tokens used.
TOKEN_USAGE = b"x-masticfork-token-usage"
# Priority of a request at an engine; 0 is the most urgent.
REQUEST_PRIORITY = b"x-masticfork-request-priority"
EXPECT_VERSION = b"x-masticfork-expect-version"
PIN_MS = b"x-masticfork-pin-ms"
HOLD = b"x-masticfork-hold"
KV_BACKUP = b"x-masticfork-kv-backup"
KV_FROM = b"kv-from"
KV_FETCH = b"kv-fetch"
CONFIDENCE = b"x-masticfork-confidence"
SESSION = b"session"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "

# Headers reserved for the router and the servers: they are removed from each caller's
# request, so that a caller cannot forge them.
SYSTEM_HEADERS = frozenset(
    {
        DEADLINE_MS,
        TEAM,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        REQUEST_PRIORITY,
        PIN_MS,
        HOLD,
        KV_BACKUP,
        KV_FROM,
        KV_FETCH,
        NOT_EXECUTED,
        SERVER_STAMP,
    }
)

# Response header of the store: rises by one when the store is restored from a copy.
STORE_ERA = "store-era"

# Kinds of objects in the platform's object store.
OBJECTS_PATH = "/masticfork/objects"
KIND_CONFIG = "config"
KIND_SERVERS = "servers"
KIND_ROLLOUTS = "rollouts"
# Named after an availability zone, whose servers get no requests while it exists.
KIND_EVACUATIONS = "evacuations"
# Written by the router itself: one object per entry host.
KIND_HOSTS = "masticfork-hosts"
# Name of the object to which the operator writes the complete configuration.
CONFIG_NAME = "main"

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "MASTICFORK_CONFIG"
