"""Steps of the end-to-end scenarios."""

import json
from pathlib import Path

import attrs
from behave import given, then, when

from features.steps.callers import CHAT_PATH, call
from features.steps.hosts import KEY, start_entry_host

GOLDEN_FOLDER = Path(__file__).parent.parent / "golden"


def authorized(**headers):
    hyphenated = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"Authorization": f"Bearer {KEY}", **hyphenated}


def chat_body(model, **more):
    messages = [{"role": "user", "content": "Summarise the supplier's quote."}]
    return json.dumps({"model": model, "messages": messages, "max_tokens": 5, **more})


def request_completion(context, model, request, **headers):
    headers = authorized(Idempotency_Key=request, **headers)
    response = call(
        context.daemon.entry_port, "POST", CHAT_PATH, chat_body(model), headers
    )
    context.requests.append(request)
    return response


@given("an entry host with two models and an order desk")
def start_host(context):
    context.requests = []
    context.responses = []
    start_entry_host(context)


@given("the clock is at {seconds:d} seconds")
def set_clock(context, seconds):
    context.clock.now = float(seconds)


@when("the clock advances by {seconds:d} seconds")
def advance_clock(context, seconds):
    context.clock.now += seconds


@when('the caller streams a completion from "{model}" as "{request}"')
def stream(context, model, request):
    body = chat_body(model, stream=True, stream_options={"include_usage": True})
    headers = authorized(Idempotency_Key=request)
    response = call(context.daemon.entry_port, "POST", CHAT_PATH, body, headers)
    context.requests.append(request)
    assert response.status == 200, response
    lines = response.body.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""], lines
    ids = [line for line in lines if line.startswith("id: ")]
    assert len(ids) == 5, ids
    assert '"usage"' in lines[-3]


@when('the caller requests a completion from "{model}" as "{request}"')
def complete(context, model, request):
    context.responses.append(request_completion(context, model, request))


@when('the caller continues the session with "{model}" as "{request}"')
def continue_session(context, model, request):
    session = context.responses[-1].headers["masticfork-session"]
    context.responses.append(
        request_completion(context, model, request, Masticfork_Session=session)
    )


@then("both completions come from the same version")
def check_same_version(context):
    first, second = context.responses
    assert first.status == second.status == 200, (first, second)
    version = "masticfork-version"
    assert first.headers[version] == second.headers[version]
    session = "masticfork-session"
    assert first.headers[session] == second.headers[session]


@when('the caller looks up the stock as "{request}"')
def look_up(context, request):
    headers = authorized(Idempotency_Key=request)
    path = "/services/orders/stock/linen-canvas"
    response = call(context.daemon.entry_port, "GET", path, None, headers)
    context.requests.append(request)
    assert response.status == 200, response


@when('the caller reserves a pallet as "{request}"')
def reserve(context, request):
    headers = authorized(Idempotency_Key=request)
    path = "/services/orders/reservations"
    response = call(context.daemon.entry_port, "POST", path, '{"pallets": 1}', headers)
    context.requests.append(request)
    assert response.status == 201, response


@then('the events equal the golden file "{name}"')
def check_events(context, name):
    lines = [
        json.dumps(
            {"request": request, "event": type(event).__name__, **event_fields(event)}
        )
        for request in context.requests
        for event in context.daemon.event_log.events_of(request)
    ]
    expected = (GOLDEN_FOLDER / name).read_text().splitlines()
    assert lines == expected, "\n".join(lines)


def event_fields(event):
    fields = attrs.asdict(event, value_serializer=lambda *field: field[2])
    # The id of an attempt at a plain service is random.
    if fields.get("attempt", "").startswith("try-"):
        fields["attempt"] = "try"
    return fields


INVALID_INPUT = {
    "no key": ("POST", CHAT_PATH, chat_body("auto"), {}),
    "a wrong key": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        {"Authorization": "Bearer x"},
    ),
    "malformed JSON": ("POST", CHAT_PATH, "{", authorized()),
    "a body of the wrong type": ("POST", CHAT_PATH, "[]", authorized()),
    "messages of the wrong type": (
        "POST",
        CHAT_PATH,
        json.dumps({"model": "auto", "messages": "hello"}),
        authorized(),
    ),
    "a body over the limit": ("POST", CHAT_PATH, "x" * 15_000, authorized()),
    "a body over the parser limit": ("POST", CHAT_PATH, "x" * 50_000, authorized()),
    "too many headers": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        authorized(**{f"X_{number}": "1" for number in range(30)}),
    ),
    "headers that are too long": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        authorized(X_Long="x" * 5_000),
    ),
    "an unknown model": ("POST", CHAT_PATH, chat_body("walnut"), authorized()),
    "a model of another team": (
        "POST",
        CHAT_PATH,
        chat_body("linen-large"),
        {"Authorization": "Bearer example-gallery"},
    ),
    "a forged session": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        authorized(Masticfork_Session="1.s.e30.AAAA"),
    ),
    "an expired deadline": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        authorized(Masticfork_Deadline="1"),
    ),
    "a deadline that is no number": (
        "POST",
        CHAT_PATH,
        chat_body("auto"),
        authorized(Masticfork_Deadline="soon"),
    ),
    "an unknown path": ("GET", "/v2/nothing", None, authorized()),
    "an unknown service": ("GET", "/services/nothing/x", None, authorized()),
    "a GET on chat": ("GET", CHAT_PATH, None, authorized()),
}


@when("the caller sends {name}")
def send_invalid(context, name):
    method, path, body, headers = INVALID_INPUT[name]
    context.response = call(context.daemon.entry_port, method, path, body, headers)


@then('the response is {status:d} with code "{code}" and nothing ran')
def check_rejected(context, status, code):
    response = context.response
    assert response.status == status, response
    assert response.code() == code, response
    assert response.run_state() == "not_run", response
    generations = [
        engine.counts()["generations"] for engine in context.engines.values()
    ]
    assert generations == [[], []], generations
    assert context.orders.counts()["runs"] == {}
