"""HTTP calls to an entry host, with valid or invalid input."""

import http.client
import json

import attrs

CALL_TIMEOUT_SECONDS = 10.0
CHAT_PATH = "/v1/chat/completions"


@attrs.frozen
class Response:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def code(self) -> str:
        value = self.json()
        return value["error"]["code"] if "error" in value else value["code"]

    def run_state(self) -> str:
        value = self.json()
        return (value.get("error") or value)["run_state"]


def call(port, method, path, body=None, headers=None) -> Response:
    connection = http.client.HTTPConnection("127.0.0.1", port, CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Response(response.status, response_headers, response.read())
    finally:
        connection.close()
