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


class TestHostWithoutPlatform:
    def test_rejects_requests_until_its_configuration_is_confirmed_again(self, cluster):
        caller = Caller(cluster)
        assert caller.look_up(0).status == 200
        set_faults(cluster, "platform", down=True)

        def rejected_response():
            response = caller.look_up(0)
            return response if response.status == 503 else None

        response = wait_for(
            rejected_response, 3 * CONFIRM_SECONDS, "a rejected request"
        )
        assert response.headers["masticfork-reason"] == "configuration_stale"
        assert response.run_state == "not_run"
        assert response.headers["retry-after"]
        count_before = len(generations(cluster))
        chat_response = caller.chat(0, "cut off")
        assert chat_response.headers["masticfork-reason"] == "configuration_stale"
        assert chat_response.run_state == "not_run"
        assert len(generations(cluster)) == count_before
        set_faults(cluster, "platform", down=False)
        wait_for(lambda: caller.look_up(0).status == 200, 30, "an accepted request")
