"""Messages between entry hosts, as typed records; `codec` puts them on the wire."""

from typing import Any

import attrs

from masticfork.core.hosts import HostState, RegionName
from masticfork.core.ids import HostName, ZoneName

PROTOCOL_VERSION = 1
# A manifest holds at most 1 MiB; the rest of a message is small.
MAX_MESSAGE_BYTES = 1024 * 1024 + 64 * 1024
MAX_HELLO_BYTES = 1024


@attrs.frozen
class Hello:
    """Name one side of a new connection and challenge the other with a nonce."""

    protocol: int
    sender: HostName
    incarnation: int
    nonce: bytes


@attrs.frozen
class Envelope:
    """Carry a serialised message with its sender, order and signature."""

    protocol: int
    sender: HostName
    incarnation: int
    sequence: int
    key_id: str
    hmac: bytes
    content: bytes


@attrs.frozen
class Proof:
    """Show by its signature that the sender holds a key."""


@attrs.frozen
class KnownHost:
    """Tell what the sender knows of some host."""

    host: HostName
    zone: ZoneName
    region: RegionName
    # Empty, with zone and region, where the entry refreshes what is known already.
    address: str
    incarnation: int
    state: HostState
    leaving: bool = False
    # Time since the host was heard, at the moment of sending.
    age_milliseconds: int = 0
    configuration_number: int = 0


@attrs.frozen
class Heartbeat:
    """Tell that the sender runs, with what, and a few of the hosts it knows."""

    # Zone, region and address are empty but in a link's first heartbeat.
    zone: ZoneName
    region: RegionName
    address: str
    leaving: bool
    configuration_number: int
    known: tuple[KnownHost, ...] = ()


@attrs.frozen
class Hosts:
    """Tell all hosts that the sender knows, once to a new neighbour."""

    known: tuple[KnownHost, ...]


@attrs.frozen
class ConfigurationCopy:
    """Carry a whole configuration; the manifest's text is compressed by zlib."""

    number: int
    submission_id: str
    manifest: bytes


@attrs.frozen
class ConfigurationRequest:
    """Ask for the configuration in force where its number is greater."""

    newer_than: int


@attrs.frozen
class ConfigurationNumber:
    """Answer that nothing newer than this number is in force at the sender."""

    number: int


@attrs.frozen
class KeepBills:
    """Ask a peer to hold a batch of bills until it is written."""

    batch_id: str
    bills: bytes


@attrs.frozen
class KeepBillsAck:
    """Tell whether a batch of bills is held."""

    batch_id: str
    kept: bool


@attrs.frozen
class BillsWritten:
    """Tell that a held batch is written and may be forgotten."""

    batch_id: str


@attrs.frozen
class Evidence:
    """Share ratings, exposure or use of limits under a topic."""

    topic: str
    payload: bytes


@attrs.frozen
class Declined:
    """Answer a request that gives no result."""

    reason: str


@attrs.frozen
class Goodbye:
    """Tell that the sender closes this connection but goes on running."""


Body = (
    Proof
    | Heartbeat
    | Hosts
    | ConfigurationCopy
    | ConfigurationRequest
    | KeepBills
    | KeepBillsAck
    | BillsWritten
    | Evidence
    | Declined
    | Goodbye
    | ConfigurationNumber
)

# Names of the union's members in the schema.
KINDS: dict[type[Any], str] = {
    Proof: "proof",
    Heartbeat: "heartbeat",
    Hosts: "hosts",
    ConfigurationCopy: "configuration",
    ConfigurationRequest: "configurationRequest",
    KeepBills: "keepBills",
    KeepBillsAck: "keepBillsAck",
    BillsWritten: "billsWritten",
    Evidence: "evidence",
    Declined: "declined",
    Goodbye: "goodbye",
    ConfigurationNumber: "configurationNumber",
}


@attrs.frozen
class Message:
    """One message with what pairs a reply with its request."""

    body: Body
    # 0 where no reply is awaited.
    correlation: int = 0
    is_reply: bool = False
