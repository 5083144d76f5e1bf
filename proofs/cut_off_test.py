import pytest

from proofs.calling import Caller, wait_for
from proofs.counting import generations, set_faults
from tools import launch
from tools.launch_options import Options

CONFIRM_SECONDS = 4
OPTIONS = Options(
    hosts=1,
    engines_per_pool=1,
    service_servers=1,
    tokens=3,
    settings={"confirm_seconds": CONFIRM_SECONDS},
)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


class TestCutOffHost:
    def test_stops_all_new_work_and_goes_on_when_it_is_confirmed(self, cluster):
        caller = Caller(cluster)
        assert caller.look_up(0).status == 200
        set_faults(cluster, "platform", down=True)

        def refused():
            answer = caller.look_up(0)
            return answer if answer.status == 503 else None

        answer = wait_for(refused, 3 * CONFIRM_SECONDS, "a refusal")
        assert answer.headers["masticfork-reason"] == "configuration_stale"
        assert answer.run_state == "not_run"
        assert answer.headers["retry-after"]
        before = len(generations(cluster))
        chat = caller.chat(0, "cut off")
        assert chat.headers["masticfork-reason"] == "configuration_stale"
        assert chat.run_state == "not_run"
        assert len(generations(cluster)) == before
        set_faults(cluster, "platform", down=False)
        wait_for(lambda: caller.look_up(0).status == 200, 30, "work again")
