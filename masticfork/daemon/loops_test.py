import threading

from masticfork.daemon.loops import Loop


class TestLoop:
    def test_continues_after_a_failed_step(self):
        calls, called_again = [], threading.Event()

        def step():
            calls.append(len(calls))
            if len(calls) == 1:
                raise ValueError("first")
            called_again.set()

        loop = Loop("test", 0.001, step)
        loop.start()
        assert called_again.wait(10)
        loop.stop(wait=True)
        assert len(calls) >= 2
