import threading

from masticfork.daemon.loops import Loop


class TestLoop:
    def test_goes_on_after_a_failed_step(self):
        calls, seen = [], threading.Event()

        def step():
            calls.append(len(calls))
            if len(calls) == 1:
                raise ValueError("first")
            seen.set()

        loop = Loop("test", 0.001, step)
        loop.start()
        assert seen.wait(10)
        loop.stop(wait=True)
        assert len(calls) >= 2
