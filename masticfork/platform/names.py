"""Names of the platform, each spelt once."""

# Headers, in lower case as they are compared.
ATTEMPT_ID = b"x-masticfork-attempt-id"
DEADLINE_MS = b"x-masticfork-deadline-ms"
PROMPT_PREFIX = b"x-masticfork-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# The server's signature of its answer; an answer without it is not the server's.
SERVER_STAMP = b"x-masticfork-server-stamp"
TEAM = b"x-masticfork-tenant"
EXPECT_INSTANCE = b"x-masticfork-expect-instance"
NOT_EXECUTED = b"x-masticfork-not-executed"
RETRY_AFTER = b"retry-after"
MODEL = b"x-masticfork-model"
# Prompt tokens and the greatest number of output tokens, not what was used.
TOKEN_USAGE = b"x-masticfork-token-usage"
# Urgency of a request at an engine, 0 first.
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

# Headers that only the system itself may set on a call to a server.
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

# Kinds of objects in the store.
OBJECTS_PATH = "/masticfork/objects"
KIND_CONFIG = "config"
KIND_SERVERS = "servers"
KIND_ROLLOUTS = "rollouts"
# A kind of the system's own: one object for each entry host.
KIND_HOSTS = "masticfork-hosts"
# The operator writes the whole configuration to this one object.
CONFIG_NAME = "main"

# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "MASTICFORK_CONFIG"
