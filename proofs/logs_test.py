import json

from proofs.calling import Caller, new_key
from tools import launch
from tools.launch_options import Options

PROMPT = "the price of linen for the gallery in Nitra"
OPTIONS = Options(hosts=1, engines_per_pool=1, service_servers=1, tokens=3)


class TestLogs:
    def test_contain_request_ids_but_no_prompts_or_keys(self):
        with launch.start(OPTIONS) as cluster:
            caller, key = Caller(cluster), new_key()
            assert caller.chat(0, PROMPT, Idempotency_Key=key).status == 200
            assert caller.reserve(0, new_key(), {"item": PROMPT}).status == 201
            assert caller.call(0, "POST", "/v1/chat/completions", "x").status == 400
            cluster.stop("entry-1")
            text = cluster.log("entry-1")
            lines = [json.loads(line) for line in text.splitlines()]
            assert key in [line.get("request_id") for line in lines]
            for line in lines:
                assert line["host"] == "entry-1"
                assert line["availability_zone"]
            secrets = [*cluster.secrets.team_keys.values(), cluster.secrets.admin_key]
            for secret in (PROMPT, *secrets):
                assert secret not in text
