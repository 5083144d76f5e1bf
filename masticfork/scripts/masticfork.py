"""Operators' command-line tool, a thin client of the administration API."""

import json
import sys
import time
from typing import Any

import attrs
import click
from result import Err

from masticfork.admin import rendering
from masticfork.admin.audit import audit
from masticfork.admin.client import Call, CallFailure, FailureKind, JsonObject
from masticfork.admin.configuration_handlers import finding_objects
from masticfork.admin.engine_generations import read_generations
from masticfork.admin.propagation import Propagation, wait_until_in_force
from masticfork.admin.request_timeline import build_timeline, read_lines, timeline_text
from masticfork.admin.texts import (
    accepted_text,
    configuration_text,
    explanation_text,
    status_text,
)
from masticfork.admin.views import RolloutAction
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import has_errors
from masticfork.core.ids import random_id
from masticfork.scripts.session import (
    ExitCode,
    Session,
    output_option,
    submission_option,
    with_session,
)
from masticfork.settings.keys import new_key_hash
from masticfork.settings.manifest import parse_manifest


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="masticfork")
def main() -> None:
    """Administer masticfork."""


@main.command()
@click.argument("manifest", type=click.File("r", encoding="utf-8"))
@output_option
def check(manifest: Any, output: str) -> None:
    """Check MANIFEST without a daemon; `-` reads standard input."""
    parsed = parse_manifest(_read_text(manifest), manifest.name)
    findings = parsed.err_value if isinstance(parsed, Err) else parsed.ok_value[1]
    if output == "json":
        click.echo(json.dumps({"findings": finding_objects(findings)}, indent=2))
    else:
        for finding in findings:
            click.echo(str(finding))
        click.echo(f"{manifest.name}: {len(findings)} findings")
    sys.exit(ExitCode.FINDINGS if has_errors(findings) else ExitCode.OK)


@main.command()
@click.argument("manifest", type=click.File("r", encoding="utf-8"))
@click.option("--dry-run", is_flag=True, help="Only validate, and show the changes.")
@click.option("--wait", is_flag=True, help="Wait until it is in force on all hosts.")
@click.option("--wait-seconds", default=30.0, show_default=True)
@click.option("--expect", type=int, help="Fail unless this number is in force now.")
@submission_option
@with_session
def submit(
    session: Session,
    manifest: Any,
    dry_run: bool,
    wait: bool,
    wait_seconds: float,
    expect: int | None,
    submission_id: str | None,
) -> None:
    """Put MANIFEST in force; `-` reads standard input."""
    text = _read_text(manifest)
    change_id = submission_id or random_id("submission")
    headers = {"Submission-Id": change_id}
    if expect is not None:
        headers["If-Match"] = f'"{expect}"'
    query: dict[str, str | int | None] = {"dry_run": 1 if dry_run else None}
    answer = session.client.call(Call("POST", "/submissions", query, headers, text))
    if isinstance(answer, Err):
        _print_repeat_hint(answer.err_value, change_id)
        session.fail(answer.err_value, manifest.name)
    accepted = answer.ok_value
    session.show(accepted, lambda: accepted_text(accepted, manifest.name))
    if wait and not dry_run:
        _wait(session, accepted["number"], wait_seconds)


@main.command()
@click.option("--number", type=int, help="Number of an earlier configuration.")
@with_session
def show(session: Session, number: int | None) -> None:
    """Show the manifest in force, in a form that can be edited and submitted."""
    body = session.get("/configuration", number=number)
    session.show(body, lambda: configuration_text(body))


@main.command()
@with_session
def status(session: Session) -> None:
    """Show hosts with their configuration in force, pools, leases and rollouts."""
    body: JsonObject = {}
    for page in session.client.pages("/status", {}, "after"):
        part = session.value(page)
        hosts = body.get("hosts", []) + part["hosts"]
        body = {**part, "hosts": hosts}
    session.show(body, lambda: status_text(body))


@main.command()
@click.argument("start", type=int)
@click.argument("end", type=int, required=False)
@with_session
def diff(session: Session, start: int, end: int | None) -> None:
    """Show what changed from configuration START to END, or to the one in force."""
    body = session.get("/configuration/diff", **{"from": start, "to": end})
    lines = map(rendering.change_line, body["changes"])
    session.show(body, lambda: "\n".join(lines) or "(no change)")


@main.command()
@click.option("--limit", default=20, show_default=True)
@click.option("--before", type=int, help="Show configurations older than this number.")
@with_session
def history(session: Session, limit: int, before: int | None) -> None:
    """List configurations and who submitted them, newest first."""
    body = session.get("/configuration/history", limit=limit, before=before)
    rows = [
        {**i, "at": rendering.format_timestamp(i["submitted_at"])}
        for i in body["items"]
    ]
    fields = ["number", "submitted_by", "role", "at", "submission_id"]
    session.show(body, lambda: rendering.record_table(rows, fields))


@main.command()
@click.argument("action", type=click.Choice([action.value for action in RolloutAction]))
@click.argument("name")
@submission_option
@with_session
def rollout(
    session: Session, action: str, name: str, submission_id: str | None
) -> None:
    """Start, pause, resume, promote or withdraw the rollout NAME."""
    body = _change(session, "POST", f"/rollouts/{name}/{action}", submission_id)
    fields = ["name", "from_version", "to_version", "state", "share", "reason"]
    session.show(body, lambda: rendering.record_table([body], fields))


@main.command()
@click.argument("kind", type=click.Choice(["server", "host"]))
@click.argument("name")
@click.option("--end", is_flag=True, help="End the drain.")
@submission_option
@with_session
def drain(
    session: Session, kind: str, name: str, end: bool, submission_id: str | None
) -> None:
    """Send no new work to the backend server or entry host NAME."""
    method = "DELETE" if end else "POST"
    body = _change(session, method, f"/{kind}s/{name}/drain", submission_id)
    done = "takes work again" if end else "gets no new work"
    session.show(body, lambda: f"{kind} {name} {done}")


@main.command()
@click.option("--begin", metavar="ZONE", help="Send no new work to servers of ZONE.")
@click.option("--end", metavar="ZONE", help="Send work to the servers of ZONE again.")
@submission_option
@with_session
def evacuations(
    session: Session, begin: str | None, end: str | None, submission_id: str | None
) -> None:
    """List the evacuated availability zones, or begin or end an evacuation."""
    if begin is not None and end is not None:
        raise click.UsageError("--begin and --end exclude each other")
    if begin is not None:
        path = f"/zones/{begin}/evacuation"
        body = _change(session, "POST", path, submission_id)
        session.show(body, lambda: f"servers of zone {begin} get no new work")
    elif end is not None:
        body = _change(session, "DELETE", f"/zones/{end}/evacuation", submission_id)
        session.show(body, lambda: f"servers of zone {end} take work again")
    else:
        body = session.get("/evacuations")
        fields = ["name", "by", "at", "submission_id"]
        session.show(body, lambda: rendering.record_table(body["items"], fields))


@main.command()
@click.option("--team", help="Only bills of this team.")
@click.option(
    "--audit",
    "audited",
    is_flag=True,
    help="Compare bills with the engines' generations.",
)
@click.option("--engine", multiple=True, help="Base URL of an engine to compare with.")
@with_session
def bills(
    session: Session, team: str | None, audited: bool, engine: tuple[str, ...]
) -> None:
    """List bills, or compare them with the generations that engines report."""
    if audited and not engine:
        raise click.UsageError("--audit needs each engine's URL as --engine")
    items: list[JsonObject] = []
    for page in session.client.pages("/bills", {"team": team, "limit": 500}, "after"):
        items += session.value(page)["items"]
    if audited:
        _audit(session, items, engine)
        return
    fields = ["request_id", "team", "work_class", "host", "cost"]
    session.show({"items": items}, lambda: rendering.record_table(items, fields))


@main.command()
@click.argument("request_id")
@with_session
def explain(session: Session, request_id: str) -> None:
    """Explain how a request was routed."""
    body = session.get(f"/explain/{request_id}")
    session.show(body, lambda: explanation_text(body))


@main.command("explain-logs")
@click.argument("request_id")
@click.argument("logs", type=click.File("r", encoding="utf-8"), nargs=-1, required=True)
def explain_logs(request_id: str, logs: tuple[Any, ...]) -> None:
    """Explain from the LOGS of entry hosts why a request ended as it did."""
    rows = (row for log in logs for row in read_lines(log.name, log))
    timeline = build_timeline(request_id, rows)
    for finding in timeline.findings:
        click.echo(str(finding), err=True)
    click.echo(timeline_text(timeline))
    sys.exit(ExitCode.OK if timeline.lines else ExitCode.REFUSED)


@main.command("hash-key")
@click.argument("key_file", type=click.File("r", encoding="utf-8"), default="-")
def hash_key(key_file: Any) -> None:
    """Read a key from KEY_FILE or standard input and show its salted hash."""
    key = _read_text(key_file).strip()
    if not key:
        raise click.UsageError(f"no key in {key_file.name}")
    click.echo(json.dumps(attrs.asdict(new_key_hash(key)), indent=2))


def _read_text(manifest: Any) -> str:
    try:
        return str(manifest.read())
    except UnicodeDecodeError:
        click.echo(f"{manifest.name}: error: is not UTF-8 [unreadable]", err=True)
        sys.exit(ExitCode.FINDINGS)


def _change(
    session: Session, method: str, path: str, submission_id: str | None
) -> JsonObject:
    change_id = submission_id or random_id("submission")
    call = Call(method, path, headers={"Submission-Id": change_id})
    answer = session.client.call(call)
    if isinstance(answer, Err):
        _print_repeat_hint(answer.err_value, change_id)
    return session.value(answer)


def _print_repeat_hint(failure: CallFailure, change_id: str) -> None:
    if failure.kind is FailureKind.UNKNOWN:
        click.echo(f"repeat with --submission-id {change_id} to settle it", err=True)


def _wait(session: Session, number: int, wait_seconds: float) -> None:
    def progress(seen: Propagation) -> None:
        ready = seen.hosts - len(seen.lagging)
        if not session.as_json:
            click.echo(f"in force on {ready} of {seen.hosts} hosts", err=True)

    deadline = Deadline.after(time.time(), wait_seconds)
    seen = wait_until_in_force(
        session.client, number, deadline, progress, time.time, time.sleep
    )
    if isinstance(seen, Err):
        session.fail(seen.err_value)
    if seen.ok_value.lagging:
        names = ", ".join(seen.ok_value.lagging)
        click.echo(f"number {number} is accepted; these hosts lag: {names}", err=True)
        sys.exit(ExitCode.UNKNOWN)


def _audit(session: Session, items: list[JsonObject], engines: tuple[str, ...]) -> None:
    generations: list[JsonObject] = []
    for url in engines:
        counted = read_generations(url, session.client.timeout_seconds)
        if isinstance(counted, Err):
            session.fail(counted.err_value)
        generations += counted.ok_value
    report = audit(items, generations)
    report_fields = attrs.asdict(report)
    rows = [
        (n, len(v) if isinstance(v, tuple) else v) for n, v in report_fields.items()
    ]
    session.show(report_fields, lambda: rendering.table(["WHAT", "COUNT"], rows))
    sys.exit(ExitCode.OK if report.clean else ExitCode.REFUSED)


if __name__ == "__main__":
    main()
