import os
import time

from masticfork.backends.connections import ConnectionPool, Request
from masticfork.backends.connections_test import backend, deadline, sized

# `select` takes no descriptors from this one on.
SELECT_LIMIT = 1024


class TestManyDescriptors:
    def test_idle_connection_with_a_high_descriptor_is_reused(self):
        """Guards against calls that fail on a host with many open connections."""

        def answer(request):
            yield sized(b"x")

        opened = [os.open(os.devnull, os.O_RDONLY) for _ in range(SELECT_LIMIT)]
        pool = ConnectionPool(time.time)
        try:
            with backend(answer) as (server, target):
                for _ in range(2):
                    request = Request("GET", "/x", ())
                    started = pool.start(target, request, deadline(), fresh=False)
                    assert pool.finish(target, started.unwrap()).unwrap() == b"x"
                assert server.connections == 1
        finally:
            pool.close()
            for descriptor in opened:
                os.close(descriptor)
