import io
import json
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from masticfork.admin.app import AdminApp
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.routes import ROUTES
from masticfork.admin.submissions import Submissions
from masticfork.admin.submissions_test import manifest
from masticfork.admin.views import (
    BillPage,
    BillStep,
    BillView,
    DrainView,
    EvacuationList,
    Explanation,
    HostHealth,
    HostView,
    PoolView,
    RolloutView,
    Status,
)
from masticfork.core.deadlines import Deadline
from masticfork.settings.keys import new_key_hash
from masticfork.settings.settings import AdminKey, Role
from masticfork.store.embedded import EmbeddedStore

_FAR = Deadline(1e12)
OPENAPI = json.loads(Path(__file__).with_name("openapi.json").read_text())
BILLS = tuple(
    BillView(
        f"r{i}", team, "lookup", "h1", 1.0, 0.5, (BillStep("a", "m@1", 1, 2, 0.5),)
    )
    for i, team in enumerate(["quotes", "orders", "quotes"])
)


class FakeBackend:
    """Records requested changes; rollout `r` is running, `done` has ended."""

    def __init__(self) -> None:
        self.orders: list[tuple[Any, ...]] = []

    def status(self) -> Status:
        hosts = tuple(
            HostView(f"h{i}", "z", "10.0.0.1:1", HostHealth.LIVE, i, 1.0)
            for i in (3, 1, 2)
        )
        pools = (PoolView("a", 2, 1, 1, 0, 16, 3),)
        return Status("h1", 2.0, 3, "s1", None, hosts, pools)

    def change_rollout(self, name: str, action: Any, change: Any) -> Any:
        if name == "done":
            return Err(Problem(ProblemCode.CONFLICT, "the rollout is done"))
        if name != "r":
            return Err(Problem(ProblemCode.NOT_FOUND, "no such rollout"))
        self.orders.append(
            (action.value, name, change.submission_id, change.actor.name)
        )
        return Ok(RolloutView(name, "m", "m@1", "m@2", action.value, 0, 0.1))

    def start_drain(self, kind: str, name: str, change: Any) -> Any:
        self.orders.append(("drain", kind, name, change.submission_id))
        return Ok(DrainView(kind, name, True, change.actor.name, 1.0, "s9"))

    def end_drain(self, kind: str, name: str, change: Any) -> Any:
        self.orders.append(("end", kind, name, change.submission_id))
        return Ok(DrainView(kind, name, False, change.actor.name, 1.0, "s9"))

    def evacuations(self) -> Any:
        zone = DrainView("zone", "z1", True, "op", 1.0, "s9")
        return Ok(EvacuationList((zone,)))

    def bills(self, query: Any) -> Any:
        items = [b for b in BILLS if not query.teams or b.team in query.teams]
        items = [b for b in items if b.request_id > query.after][: query.limit]
        return Ok(BillPage(tuple(items), None))

    def explain(self, request_id: str) -> Any:
        if request_id == "broken":
            raise RuntimeError("secret text")
        if request_id != "r0":
            return Err(Problem(ProblemCode.NOT_FOUND, "unknown request"))
        return Ok(Explanation("r0", "quotes", ({"kind": "received", "at": 1.0},)))


def admin_key(name: str, role: Role, *teams: str) -> AdminKey:
    key_hash = new_key_hash(f"key-{name}")
    return AdminKey(name, role, key_hash.salt, key_hash.sha256, teams)


KEYS = (
    admin_key("op", Role.OPERATOR),
    admin_key("view", Role.VIEWER),
    admin_key("scoped", Role.OPERATOR, "quotes"),
    admin_key("scoped-view", Role.VIEWER, "quotes"),
)


class ApiClient:
    """Calls the administration API in process, on a fake backend and store."""

    def __init__(self) -> None:
        self.store = EmbeddedStore(now=lambda: 100.0, sleep=lambda _: None)
        self.backend = FakeBackend()
        submissions = Submissions(self.store, lambda: 100.0)
        self.app = AdminApp(self.backend, submissions, KEYS, lambda: 100.0)
        self.response_headers: dict[str, str] = {}

    def call(
        self,
        method: str,
        target: str,
        key_name: str = "op",
        body: str = "",
        **headers: str,
    ) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        raw = body.encode()
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": "/admin/v1" + path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(raw)),
            "wsgi.input": io.BytesIO(raw),
            "HTTP_AUTHORIZATION": f"Bearer key-{key_name}",
            **{f"HTTP_{name}": value for name, value in headers.items()},
        }
        status: list[str] = []

        def start(line: str, sent: list[tuple[str, str]]) -> None:
            status.append(line)
            self.response_headers = dict(sent)

        text = b"".join(self.app(environ, start))
        assert int(self.response_headers["Content-Length"]) == len(text)
        return int(status[0].split()[0]), json.loads(text)

    def submit(
        self, name: str, quality: float = 0.5, key_name: str = "op", **more: Any
    ) -> tuple[int, Any]:
        target = "/submissions" + more.pop("query", "")
        text = more.pop("text", manifest(quality))
        return self.call("POST", target, key_name, text, SUBMISSION_ID=name, **more)


# Method, target, key name, headers and body; expected status and problem code.
ERROR_CASES = [
    ("GET", "/status", "nobody", {}, "", 401, "key_wrong"),
    ("GET", "/status", "op", {"AUTHORIZATION": "Basic x"}, "", 401, "key_missing"),
    ("GET", "/status", "op", {"AUTHORIZATION": ""}, "", 401, "key_missing"),
    ("GET", "/nothing", "op", {}, "", 404, "not_found"),
    ("GET", "/../secret", "op", {}, "", 404, "not_found"),
    ("PUT", "/status", "op", {}, "", 405, "method_not_allowed"),
    ("GET", "/status?limit=0", "op", {}, "", 400, "malformed"),
    ("GET", "/status?limit=501", "op", {}, "", 400, "malformed"),
    ("GET", "/status?below=x", "op", {}, "", 400, "malformed"),
    ("GET", "/configuration", "view", {}, "", 404, "not_found"),
    ("GET", "/configuration?number=-1", "view", {}, "", 400, "malformed"),
    ("GET", "/configuration/diff", "view", {}, "", 400, "malformed"),
    ("GET", "/configuration/diff?from=1&to=2", "view", {}, "", 404, "not_found"),
    ("GET", "/configuration/history?before=x", "view", {}, "", 400, "malformed"),
    ("POST", "/submissions", "view", {}, "", 403, "forbidden"),
    ("POST", "/submissions", "op", {}, "{}", 400, "malformed"),
    ("POST", "/submissions", "op", {"SUBMISSION_ID": "a/b"}, "{}", 400, "malformed"),
    (
        "POST",
        "/submissions",
        "op",
        {"SUBMISSION_ID": "a"},
        "{",
        422,
        "manifest_refused",
    ),
    (
        "POST",
        "/submissions",
        "op",
        {"SUBMISSION_ID": "a", "IF_MATCH": "x"},
        "{}",
        400,
        "malformed",
    ),
    ("POST", "/rollouts/r/pause", "view", {}, "", 403, "forbidden"),
    ("POST", "/rollouts/r/pause", "scoped", {}, "", 403, "forbidden"),
    ("POST", "/rollouts/r/pause", "op", {}, "", 400, "malformed"),
    ("POST", "/rollouts/r/burn", "op", {"SUBMISSION_ID": "a"}, "", 404, "not_found"),
    ("POST", "/rollouts/x/pause", "op", {"SUBMISSION_ID": "a"}, "", 404, "not_found"),
    ("POST", "/rollouts/done/pause", "op", {"SUBMISSION_ID": "a"}, "", 409, "conflict"),
    ("POST", "/servers/a1/drain", "view", {}, "", 403, "forbidden"),
    ("POST", "/servers/a1/drain", "op", {}, "", 400, "malformed"),
    ("DELETE", "/hosts/h1/drain", "scoped", {}, "", 403, "forbidden"),
    ("POST", "/zones/z1/evacuation", "view", {}, "", 403, "forbidden"),
    ("POST", "/zones/z1/evacuation", "op", {}, "", 400, "malformed"),
    ("GET", "/bills?team=orders", "scoped", {}, "", 403, "forbidden"),
    ("GET", "/explain/r9", "view", {}, "", 404, "not_found"),
    ("GET", "/explain/broken", "view", {}, "", 500, "internal"),
]


class TestErrors:
    @pytest.mark.parametrize(
        ("method", "target", "key_name", "headers", "body", "status", "code"),
        ERROR_CASES,
    )
    def test_errors_are_problem_details(
        self, method, target, key_name, headers, body, status, code
    ):
        client = ApiClient()
        actual_status, problem = client.call(method, target, key_name, body, **headers)
        assert (actual_status, problem["code"]) == (status, code)
        assert client.response_headers["Content-Type"] == "application/problem+json"
        assert problem["status"] == status
        assert problem["run_state"] == ("unknown" if status == 500 else "not_run")
        assert "secret text" not in problem["detail"]
        assert client.backend.orders == []
        assert client.store.list("", _FAR).unwrap().items == ()
        _check_documented(method, target, actual_status, problem)

    def test_a_body_too_large(self):
        client = ApiClient()
        status, problem = client.submit("s1", text=" " * (4 << 20) + "{}")
        assert (status, problem["code"]) == (413, "too_large")

    def test_a_body_that_is_not_utf_8(self):
        client = ApiClient()
        environ = {"CONTENT_LENGTH": "1", "wsgi.input": io.BytesIO(b"\xff")}
        environ |= {"REQUEST_METHOD": "POST", "PATH_INFO": "/admin/v1/submissions"}
        environ |= {"HTTP_AUTHORIZATION": "Bearer key-op", "HTTP_SUBMISSION_ID": "a"}
        lines: list[str] = []
        list(client.app(environ, lambda line, _: lines.append(line)))
        assert lines == ["400 Bad Request"]


class TestSubmissions:
    def test_repeats_and_conflicts(self):
        client = ApiClient()
        status, first = client.submit("s1")
        assert (status, first["repeated"], first["findings"]) == (200, False, [])
        _check_documented("POST", "/submissions", status, first)
        status, again = client.submit("s1")
        assert (again["number"], again["repeated"]) == (first["number"], True)
        assert client.submit("s1", 0.9)[1]["code"] == "submission_id_reused"
        client.submit("s2", 0.6, IF_MATCH=f'"{first["number"]}"')
        status, conflict = client.submit("s3", 0.7, IF_MATCH=str(first["number"]))
        assert status == 409
        assert conflict["current"]["submitted_by"] == "op"
        assert [c["path"] for c in conflict["changes"]] == [
            "teams[quotes].quality_target"
        ]
        _check_documented("POST", "/submissions", status, conflict)

    def test_findings_have_path_and_line(self):
        _, problem = ApiClient().submit("s1", 1.5)
        assert problem["findings"][0]["path"] == "teams[0].quality_target"
        assert problem["findings"][0]["line"] == 1

    def test_a_dry_run_changes_nothing(self):
        client = ApiClient()
        status, checked = client.submit("s1", query="?dry_run=1")
        assert (status, checked["number"], checked["dry_run"]) == (200, 0, True)
        assert client.call("GET", "/configuration")[0] == 404

    def test_a_scoped_operator_may_change_only_its_teams(self):
        client = ApiClient()
        client.submit("s1")
        assert client.submit("s2", 0.6, key_name="scoped")[0] == 200
        text = manifest(0.6).replace("10.0.0.1", "10.0.0.9")
        status, problem = client.submit("s3", key_name="scoped", text=text)
        assert (status, problem["paths"]) == (403, ["pools[a].servers[a1].host"])

    def test_a_conflict_shows_a_scoped_operator_only_its_teams(self):
        client = ApiClient()
        _, first = client.submit("s1", text=manifest(team="orders"))
        client.submit("s2", text=manifest(0.6, team="orders"))
        number = str(first["number"])
        status, conflict = client.submit("s3", 0.7, key_name="scoped", IF_MATCH=number)
        assert (status, conflict["changes"]) == (409, [])

    @pytest.mark.parametrize(
        ("fault", "status", "code"),
        [("down", 503, "platform_down"), ("unknown", 504, "outcome_unknown")],
    )
    def test_a_failing_platform(self, fault: str, status: int, code: str):
        client = ApiClient()
        if fault == "down":
            client.store.set_down(True)
        else:
            client.store.faults.lose_requests = 9
        actual_status, problem = client.submit("s1")
        assert (actual_status, problem["code"]) == (status, code)
        assert problem["run_state"] == ("unknown" if status == 504 else "not_run")
        assert ("Retry-After" in client.response_headers) == (status == 503)
        _check_documented("POST", "/submissions", actual_status, problem)


class TestConfigurations:
    def test_show_history_and_diff(self):
        client = ApiClient()
        numbers = [client.submit(f"s{i}", i / 10)[1]["number"] for i in range(3)]
        _, shown = client.call("GET", "/configuration")
        assert (shown["number"], shown["submission_id"]) == (numbers[2], "s2")
        _check_documented("GET", "/configuration", 200, shown)
        _, earlier = client.call("GET", f"/configuration?number={numbers[0]}")
        assert earlier["manifest"]["teams"][0]["quality_target"] == 0
        _, page = client.call("GET", "/configuration/history?limit=2")
        assert [row["submission_id"] for row in page["items"]] == ["s2", "s1"]
        _check_documented("GET", "/configuration/history", 200, page)
        target = f"/configuration/history?limit=2&before={page['next']}"
        _, rest = client.call("GET", target)
        assert ([r["submission_id"] for r in rest["items"]], rest["next"]) == (
            ["s0"],
            None,
        )
        _, diff = client.call("GET", f"/configuration/diff?from={numbers[0]}")
        assert (diff["from"], diff["to"]) == (numbers[0], numbers[2])
        assert [(c["before"], c["after"]) for c in diff["changes"]] == [(0, 0.2)]
        _check_documented("GET", "/configuration/diff", 200, diff)

    def test_only_operators_of_all_teams_see_key_hashes(self):
        client = ApiClient()
        client.submit("s1")
        for key_name, sees_hashes in (("op", True), ("view", False), ("scoped", False)):
            _, shown = client.call("GET", "/configuration", key_name)
            hashes = shown["manifest"]["teams"][0]["key_hashes"]
            assert (hashes != "1 hidden") == sees_hashes

    def test_other_teams_are_hidden(self):
        client = ApiClient()
        client.submit("s1", text=manifest(team="orders"))
        _, shown = client.call("GET", "/configuration", "scoped-view")
        assert shown["manifest"]["teams"] == []


class TestBackendCalls:
    def test_status_pages_and_filters_hosts(self):
        client = ApiClient()
        _, status = client.call("GET", "/status?limit=2", "view")
        assert [h["name"] for h in status["hosts"]] == ["h1", "h2"]
        assert (status["next"], status["pools"][0]["ready"]) == ("h2", 1)
        _check_documented("GET", "/status", 200, status)
        _, rest = client.call("GET", "/status?after=h2", "view")
        assert [h["name"] for h in rest["hosts"]] == ["h3"]
        _, lagging = client.call("GET", "/status?below=3", "view")
        assert [h["name"] for h in lagging["hosts"]] == ["h1", "h2"]

    @pytest.mark.parametrize(
        ("method", "target", "order"),
        [
            ("POST", "/rollouts/r/promote", ("promote", "r", "s9", "op")),
            ("POST", "/servers/a1/drain", ("drain", "server", "a1", "s9")),
            ("DELETE", "/servers/a1/drain", ("end", "server", "a1", "s9")),
            ("POST", "/hosts/h1/drain", ("drain", "host", "h1", "s9")),
            ("DELETE", "/hosts/h1/drain", ("end", "host", "h1", "s9")),
            ("POST", "/zones/z1/evacuation", ("drain", "zone", "z1", "s9")),
            ("DELETE", "/zones/z1/evacuation", ("end", "zone", "z1", "s9")),
        ],
    )
    def test_changes_pass_name_submission_id_and_actor(self, method, target, order):
        client = ApiClient()
        status, body = client.call(method, target, SUBMISSION_ID="s9")
        assert (status, client.backend.orders) == (200, [order])
        _check_documented(method, target, status, body)

    def test_evacuations_are_listed(self):
        client = ApiClient()
        _, body = client.call("GET", "/evacuations", "view")
        assert [zone["name"] for zone in body["items"]] == ["z1"]
        _check_documented("GET", "/evacuations", 200, body)

    def test_bills_and_explanations_are_scoped(self):
        client = ApiClient()
        _, page = client.call("GET", "/bills", "scoped-view")
        assert [bill["request_id"] for bill in page["items"]] == ["r0", "r2"]
        _check_documented("GET", "/bills", 200, page)
        _, page = client.call("GET", "/bills?team=orders&after=r0", "view")
        assert [bill["request_id"] for bill in page["items"]] == ["r1"]
        status, explained = client.call("GET", "/explain/r0", "scoped-view")
        assert (status, explained["events"][0]["kind"]) == (200, "received")
        _check_documented("GET", "/explain/r0", 200, explained)


class TestOpenApi:
    def test_documents_exactly_the_routes(self):
        documented = {
            (method.upper(), path, operation["operationId"])
            for path, methods in OPENAPI["paths"].items()
            for method, operation in methods.items()
        }
        assert documented == {
            (route.method, route.template, route.operation.value) for route in ROUTES
        }

    def test_parameters_are_those_of_the_paths(self):
        for path, methods in OPENAPI["paths"].items():
            for operation in methods.values():
                parameters = operation.get("parameters", [])
                named = {p["name"] for p in parameters if p["in"] == "path"}
                assert {f"{{{name}}}" for name in named} == {
                    part for part in path.split("/") if part.startswith("{")
                }

    def test_every_reference_exists(self):
        schemas = OPENAPI["components"]["schemas"]
        for name in json.dumps(OPENAPI).split("#/components/schemas/")[1:]:
            assert name.split('"')[0] in schemas


def _check_documented(method: str, target: str, status: int, body: Any) -> None:
    """Check a response against the OpenAPI description of its operation."""
    path = target.partition("?")[0]
    for route in ROUTES:
        if route.method == method and route.match(path) is not None:
            operation = OPENAPI["paths"][route.template][method.lower()]
            content = operation["responses"][str(status)]["content"]
            (schema,) = (media["schema"] for media in content.values())
            _check_schema(body, schema)
            return
    assert status in (401, 404, 405)


def _check_schema(value: Any, schema: dict[str, Any]) -> None:
    if "$ref" in schema:
        name = schema["$ref"].rsplit("/", 1)[1]
        _check_schema(value, OPENAPI["components"]["schemas"][name])
        return
    if "oneOf" in schema:
        if value is not None:
            _check_schema(value, schema["oneOf"][0])
        return
    kinds = {"object": dict, "array": list, "string": str, "boolean": bool}
    kinds |= {"integer": int, "number": (int, float)}
    if "type" in schema:
        assert isinstance(value, kinds[schema["type"]]), (value, schema)
    if "enum" in schema:
        assert value in schema["enum"]
    if "properties" in schema:
        assert set(schema["required"]) <= value.keys() <= schema["properties"].keys()
        for key, inner in value.items():
            _check_schema(inner, schema["properties"][key])
    for item in value if schema.get("items") else ():
        _check_schema(item, schema["items"])
