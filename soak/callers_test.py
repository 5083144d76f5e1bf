import pytest

from masticfork.core.backend_servers import Address
from soak import callers
from soak.callers import Caller, Shared, Target
from soak.records import RequestKind
from standins.scripted_server import ScriptedServer, answer


@pytest.fixture
def refusing():
    """A server that refuses everything, without a body."""
    server = ScriptedServer(
        lambda asked: iter([answer(asked, b"", "503 Service Unavailable")])
    )
    yield server
    server.close()


class TestCaller:
    def test_one_that_would_leave_asks_again_after_an_empty_answer(
        self, refusing: ScriptedServer, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(callers, "LEAVING_SHARE", 1.0)
        host, _, port = refusing.address.rpartition(":")
        target = Target(0, Address(host, int(port)))
        caller = Caller("c", "seed", Shared([target]))
        assert caller.connect_to(target)
        seen = [caller.ask(RequestKind.STREAM) for _ in range(2)]
        assert [attempt.status for attempt in seen] == [503, 503]
