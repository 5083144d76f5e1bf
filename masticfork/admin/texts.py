"""Format the longer responses of the administration API as text."""

import json

from masticfork.admin import rendering
from masticfork.admin.rendering import JsonObject


def accepted_text(accepted: JsonObject, source: str) -> str:
    """Format the outcome of a submission; `source` names its manifest file."""
    lines = [rendering.finding_line(source, f) for f in accepted["findings"]]
    lines += map(rendering.change_line, accepted["changes"])
    if accepted["dry_run"]:
        lines.append(f"would replace number {accepted['number']}")
    elif accepted["repeated"]:
        lines.append(f"accepted earlier as number {accepted['number']}")
    else:
        lines.append(f"accepted as number {accepted['number']}")
    return "\n".join(lines)


def status_text(body: JsonObject) -> str:
    """Format a status, one table a section."""
    confirmed = rendering.format_timestamp(body["confirmed_until"])
    parts = [
        f"host {body['host']}: number {body['configuration_number']}, "
        f"submission {body['submission_id'] or '-'}, confirmed until {confirmed}"
    ]
    sections = {
        "hosts": ["name", "zone", "address", "health", "configuration_number"],
        "pools": ["name", "servers", "ready", "ejected", "leaving", "in_flight"],
        "services": ["name", "servers", "ready", "ejected", "leaving", "in_flight"],
        "leases": ["name", "holder", "fencing"],
        "rollouts": ["name", "from_version", "to_version", "state", "share", "reason"],
    }
    for name, fields in sections.items():
        parts.append(f"\n{name}\n{rendering.record_table(body[name], fields)}")
    return "\n".join(parts)


def explanation_text(body: JsonObject) -> str:
    """Format the events of a request."""
    lines = [f"request {body['request_id']} of team {body['team']}"]
    for event in body["events"]:
        event_fields = {
            k: v for k, v in event.items() if k not in ("kind", "at", "candidates")
        }
        details = ", ".join(f"{key} {value}" for key, value in event_fields.items())
        lines.append(f"{event.get('at', '-')}  {event.get('kind', '-')}  {details}")
        lines += [f"    {candidate}" for candidate in event.get("candidates", ())]
    return "\n".join(lines)


def configuration_text(body: JsonObject) -> str:
    """Format a manifest under a comment that names its submitter."""
    when = rendering.format_timestamp(body["submitted_at"])
    header = f"// number {body['number']}, by {body['submitted_by']}, {when}\n"
    return header + json.dumps(body["manifest"], indent=2, ensure_ascii=False)
