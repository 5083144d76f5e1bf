"""Calls to an entry host, whole or malformed."""

import http.client
import json

import attrs

CALL_SECONDS = 10.0
CHAT = "/v1/chat/completions"


@attrs.frozen
class Answer:
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


def call(port, method, path, body=None, headers=None) -> Answer:
    connection = http.client.HTTPConnection("127.0.0.1", port, CALL_SECONDS)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, names, answer.read())
    finally:
        connection.close()
