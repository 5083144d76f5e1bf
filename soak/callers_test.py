import pytest

from masticfork.core.backend_servers import Address
from soak import callers
from soak.callers import Caller, SharedState, Target
from soak.records import RequestKind
from standins.scripted_server import ScriptedServer, response


@pytest.fixture
def refusing_server():
    """A server that answers every request with 503 and an empty body."""
    server = ScriptedServer(
        lambda request: iter([response(request, b"", "503 Service Unavailable")])
    )
    yield server
    server.close()


class TestCaller:
    def test_connection_stays_usable_after_an_empty_answer_to_an_early_close(
        self, refusing_server: ScriptedServer, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(callers, "EARLY_CLOSE_SHARE", 1.0)
        host, _, port = refusing_server.address.rpartition(":")
        target = Target(0, Address(host, int(port)))
        caller = Caller("c", "seed", SharedState([target]))
        assert caller.connect_to(target)
        attempts = [caller.send_request(RequestKind.STREAM) for _ in range(2)]
        assert [attempt.status for attempt in attempts] == [503, 503]
