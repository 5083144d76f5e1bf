"""Messages between entry hosts, as typed records; `codec` encodes them."""

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
    """First frame of each side of a connection: its name and a nonce for the peer."""

    protocol: int
    sender: HostName
    incarnation: int
    nonce: bytes


@attrs.frozen
class Envelope:
    """A serialised message with its sender, sequence number and signature."""

    protocol: int
    sender: HostName
    incarnation: int
    sequence: int
    key_id: str
    hmac: bytes
    content: bytes


@attrs.frozen
class Proof:
    """Empty message whose signature proves that the sender holds a key."""


@attrs.frozen
class KnownHost:
    """State of another host, as known to the sender."""

    host: HostName
    zone: ZoneName
    region: RegionName
    # Empty, like zone and region, in an entry that only refreshes a known host.
    address: str
    incarnation: int
    state: HostState
    leaving: bool = False
    # Time since the host was last heard from, when the message is sent.
    age_milliseconds: int = 0
    configuration_number: int = 0


@attrs.frozen
class Heartbeat:
    """Periodic message with the sender's state and a few of the hosts it knows."""

    # Zone, region and address are empty except in the first heartbeat on a link.
    zone: ZoneName
    region: RegionName
    address: str
    leaving: bool
    configuration_number: int
    known: tuple[KnownHost, ...] = ()


@attrs.frozen
class Hosts:
    """All hosts that the sender knows, sent once to a new neighbour."""

    known: tuple[KnownHost, ...]


@attrs.frozen
class ConfigurationCopy:
    """A complete configuration; the manifest's text is compressed with zlib."""

    number: int
    submission_id: str
    manifest: bytes


@attrs.frozen
class ConfigurationRequest:
    """Request for the active configuration if its number is greater."""

    newer_than: int


@attrs.frozen
class ConfigurationNumber:
    """Reply that the sender has nothing newer; holds its active number, 0 for none."""

    number: int


@attrs.frozen
class KeepBills:
    """Request to hold a batch of bills until the sender has written it."""

    batch_id: str
    bills: bytes


@attrs.frozen
class KeepBillsAck:
    """Reply that says whether the batch of bills is held."""

    batch_id: str
    kept: bool


@attrs.frozen
class BillsWritten:
    """Notice that a held batch is written and can be discarded."""

    batch_id: str


@attrs.frozen
class Evidence:
    """Data that hosts share under a topic, such as ratings, exposure or limit usage."""

    topic: str
    payload: bytes


@attrs.frozen
class Declined:
    """Reply to a request that has no result."""

    reason: str


@attrs.frozen
class Goodbye:
    """Notice that the sender closes this connection but keeps running."""


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

# Names of the members of the schema's `body` union.
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
    """A message with the correlation number that matches a reply to its request."""

    body: Body
    # 0 if no reply is expected.
    correlation: int = 0
    is_reply: bool = False
