"""Decisions on requests by the room of their service, at one host."""

import pytest

from masticfork.core.forwarding import PromptPart
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.room import RoomGate
from masticfork.systems.scarce_room import Admission, RoomRefusal
from masticfork.systems.server_choice import Work
from standins.entry_environment import ENGINES, running_entry_host
from standins.fake_loop import FakeLoop
from standins.scripted_server import events

ENGINE_WORK = Work(
    ENGINES, model="small", prompt=(PromptPart("a1", 1000),), prompt_tokens=1000
)
TEAMS = ("flooding", "team-1", "team-2", "team-3")


class Gate:
    """A gate whose service has a set expected delay."""

    def __init__(self, enabled=True):
        self.loop = FakeLoop(100.0)
        self.lines = []
        self.gate = RoomGate(self.loop, RelayMetrics(), self._log, enabled)
        self.wait = 0.05

    def _log(self, message, **fields):
        self.lines.append((message, fields))

    def admit(self, team):
        return self.gate.admit(
            "a-1", ENGINE_WORK, team, 1, 2.0, 10.0, lambda: self.wait
        )

    def send_usual_load(self, seconds=20.0):
        for _ in range(int(seconds * 4)):
            for team in TEAMS:
                self.admit(team)
            self.loop.advance(0.25)


class TestRoomGate:
    def test_flooding_team_yields_while_room_is_scarce(self):
        """Load: one team sends ten times its usual while a service is busy."""
        gate = Gate()
        gate.send_usual_load()
        for _ in range(40):
            gate.admit("flooding")
        gate.wait = 1.5
        assert gate.admit("flooding").priority == 2
        assert gate.admit("team-1") == Admission(1)
        assert gate.lines[-1][1]["why"] == "team over its share"

    def test_work_at_other_hosts_counts(self):
        """Guards against a team that spreads its flood over all hosts."""
        gate, other = Gate(), Gate()
        for host in (gate, other):
            host.send_usual_load()
        for _ in range(80):
            other.admit("flooding")
        gate.wait = 1.5
        assert gate.admit("flooding") == Admission(1)
        gate.gate.apply("host-2", other.gate.team_work)
        assert gate.admit("flooding").priority == 2

    def test_request_without_a_chance_is_refused_and_logged(self):
        gate = Gate()
        gate.wait = 12.0
        assert gate.admit("team-1") == RoomRefusal("no room in time", 2.0)
        message, fields = gate.lines[-1]
        assert (message, fields["decision"]) == ("room decision", "refused")

    def test_no_server_is_for_the_choice_of_the_server_to_tell(self):
        gate = Gate()
        gate.wait = float("inf")
        assert gate.admit("team-1") == Admission(1)

    def test_deployment_that_does_not_ask_for_it_admits_all(self):
        """Guards against refusals at deployments that are served as before."""
        gate = Gate(enabled=False)
        gate.wait = 12.0
        assert gate.admit("team-1") == Admission(1)
        assert gate.gate.team_work == ()


class TestWholePath:
    @pytest.mark.parametrize(("scarce_room", "status"), [(True, 503), (False, 200)])
    def test_prompt_that_cannot_be_read_in_time(self, scarce_room, status):
        """Guards against a request that waits until its deadline without a chance."""
        headers = {
            "X-Masticfork-Token-Usage": "9000000,10",
            "X-Masticfork-Prompt-Prefix": "a1:1,b2:8999999",
        }
        with running_entry_host(scarce_room=scarce_room) as env:
            server = env.add_server(
                lambda request: events(request, 2, confidence=90), ENGINES
            )
            env.wait_for_servers(1)
            answer = env.send("/streaming/x", headers=headers)
            assert answer.status == status
            assert len(server.requests) == (status == 200)
            if status == 503:
                assert float(answer.headers["retry-after"]) > 0
