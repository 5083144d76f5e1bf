"""Steps of the whole path."""

import json
from pathlib import Path

import attrs
from behave import given, then, when

from features.steps.callers import CHAT, call
from features.steps.hosts import KEY, start

GOLDEN = Path(__file__).parent.parent / "golden"


def authorized(**headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"Authorization": f"Bearer {KEY}", **named}


def chat_body(model, **more):
    messages = [{"role": "user", "content": "Summarise the supplier's quote."}]
    return json.dumps({"model": model, "messages": messages, "max_tokens": 5, **more})


def ask(context, model, request, **headers):
    headers = authorized(Idempotency_Key=request, **headers)
    answer = call(context.daemon.entry_port, "POST", CHAT, chat_body(model), headers)
    context.requests.append(request)
    return answer


@given("an entry host with two models and an order desk")
def start_host(context):
    context.requests = []
    context.answers = []
    start(context)


@given("the clock stands at {at:d}")
def set_clock(context, at):
    context.clock.at = float(at)


@when("the clock moves on by {seconds:d} seconds")
def move_clock(context, seconds):
    context.clock.at += seconds


@when('the caller streams an answer from "{model}" as "{request}"')
def stream(context, model, request):
    body = chat_body(model, stream=True, stream_options={"include_usage": True})
    headers = authorized(Idempotency_Key=request)
    answer = call(context.daemon.entry_port, "POST", CHAT, body, headers)
    context.requests.append(request)
    assert answer.status == 200, answer
    lines = answer.body.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""], lines
    ids = [line for line in lines if line.startswith("id: ")]
    assert len(ids) == 5, ids
    assert '"usage"' in lines[-3]


@when('the caller asks "{model}" for an answer as "{request}"')
def plain(context, model, request):
    context.answers.append(ask(context, model, request))


@when('the caller asks "{model}" again in the same session as "{request}"')
def plain_again(context, model, request):
    session = context.answers[-1].headers["masticfork-session"]
    context.answers.append(ask(context, model, request, Masticfork_Session=session))


@then("both answers come from the same version")
def same_version(context):
    first, second = context.answers
    assert first.status == second.status == 200, (first, second)
    version = "masticfork-version"
    assert first.headers[version] == second.headers[version]
    session = "masticfork-session"
    assert first.headers[session] == second.headers[session]


@when('the caller looks up the stock as "{request}"')
def look_up(context, request):
    headers = authorized(Idempotency_Key=request)
    path = "/services/orders/stock/linen-canvas"
    answer = call(context.daemon.entry_port, "GET", path, None, headers)
    context.requests.append(request)
    assert answer.status == 200, answer


@when('the caller reserves a pallet as "{request}"')
def reserve(context, request):
    headers = authorized(Idempotency_Key=request)
    path = "/services/orders/reservations"
    answer = call(context.daemon.entry_port, "POST", path, '{"pallets": 1}', headers)
    context.requests.append(request)
    assert answer.status == 201, answer


@then('the events equal the golden file "{name}"')
def compare(context, name):
    lines = [
        json.dumps({"request": request, "event": type(event).__name__, **row(event)})
        for request in context.requests
        for event in context.daemon.event_log.of(request)
    ]
    expected = (GOLDEN / name).read_text().splitlines()
    assert lines == expected, "\n".join(lines)


def row(event):
    fields = attrs.asdict(event, value_serializer=lambda *field: field[2])
    # The identity of an attempt at a plain service is random.
    if fields.get("attempt", "").startswith("try-"):
        fields["attempt"] = "try"
    return fields


BAD_INPUT = {
    "no key": ("POST", CHAT, chat_body("auto"), {}),
    "a wrong key": ("POST", CHAT, chat_body("auto"), {"Authorization": "Bearer x"}),
    "malformed JSON": ("POST", CHAT, "{", authorized()),
    "a body of the wrong type": ("POST", CHAT, "[]", authorized()),
    "messages of the wrong type": (
        "POST",
        CHAT,
        json.dumps({"model": "auto", "messages": "hello"}),
        authorized(),
    ),
    "a body over the limit": ("POST", CHAT, "x" * 15_000, authorized()),
    "a body over the parser limit": ("POST", CHAT, "x" * 50_000, authorized()),
    "too many headers": (
        "POST",
        CHAT,
        chat_body("auto"),
        authorized(**{f"X_{number}": "1" for number in range(30)}),
    ),
    "headers that are too long": (
        "POST",
        CHAT,
        chat_body("auto"),
        authorized(X_Long="x" * 5_000),
    ),
    "an unknown model": ("POST", CHAT, chat_body("walnut"), authorized()),
    "a model of another team": (
        "POST",
        CHAT,
        chat_body("linen-large"),
        {"Authorization": "Bearer example-gallery"},
    ),
    "a forged session": (
        "POST",
        CHAT,
        chat_body("auto"),
        authorized(Masticfork_Session="1.s.e30.AAAA"),
    ),
    "an expired deadline": (
        "POST",
        CHAT,
        chat_body("auto"),
        authorized(Masticfork_Deadline="1"),
    ),
    "a deadline that is no number": (
        "POST",
        CHAT,
        chat_body("auto"),
        authorized(Masticfork_Deadline="soon"),
    ),
    "an unknown path": ("GET", "/v2/nothing", None, authorized()),
    "an unknown service": ("GET", "/services/nothing/x", None, authorized()),
    "a GET on chat": ("GET", CHAT, None, authorized()),
}


@when("the caller sends {name}")
def send(context, name):
    method, path, body, headers = BAD_INPUT[name]
    context.answer = call(context.daemon.entry_port, method, path, body, headers)


@then('the answer is {status:d} with code "{code}" and nothing ran')
def refused(context, status, code):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.code() == code, answer
    assert answer.run_state() == "not_run", answer
    ran = [engine.counts()["generations"] for engine in context.engines.values()]
    assert ran == [[], []], ran
    assert context.orders.counts()["runs"] == {}
