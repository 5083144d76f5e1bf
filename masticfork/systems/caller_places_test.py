from masticfork.systems.caller_places import WaitingConnection, choose_closed
from masticfork.systems.request_memory import STALL_SECONDS

NOW = 100.0


def waiting(connection, seconds, between_requests=False):
    return WaitingConnection(connection, between_requests, NOW - seconds)


def closed(connections, most=10):
    return [item.connection for item in choose_closed(connections, most, NOW)]


class TestChoice:
    def test_connections_that_move_keep_their_places(self):
        assert closed([waiting(1, STALL_SECONDS / 2)]) == []

    def test_those_that_have_waited_longest_go_first(self):
        assert closed([waiting(1, 2.0), waiting(2, 9.0), waiting(3, 5.0)], 2) == [2, 3]

    def test_callers_between_requests_go_last(self):
        """Guards against kept connections that are closed for a crowd's sake."""
        kept = waiting(1, 9.0, between_requests=True)
        assert closed([kept, waiting(2, 1.0)], 1) == [2]
        assert closed([kept, waiting(2, 1.0)]) == [2, 1]
