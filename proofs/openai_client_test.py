import openai
import pytest

from proofs.calling import MODEL, TEAM
from standins.engine_answers import AnswerText
from tools import launch
from tools.launch_options import Options

SMALL = Options(
    hosts=2, engines_per_pool=1, tokens=16, token_seconds=0.005, first_token_seconds=0
)
TEXT = "A quote for six rolls of linen."
MESSAGES = [{"role": "user", "content": TEXT}]


@pytest.fixture(scope="module")
def cluster():
    with launch.start(SMALL) as running:
        yield running


@pytest.fixture(params=[0, 1])
def client(cluster, request):
    key = cluster.secrets.team_keys[TEAM]
    url = f"{cluster.entries[request.param]}/v1"
    with openai.OpenAI(api_key=key, base_url=url, max_retries=0) as opened:
        yield opened


class TestAnswers:
    def test_plain_answer_is_whole_and_counted(self, client):
        answer = client.chat.completions.create(model=MODEL, messages=MESSAGES)
        text = AnswerText.of(answer.model, TEXT).text(16)
        assert answer.choices[0].message.content == text
        assert answer.choices[0].finish_reason == "stop"
        assert answer.usage.completion_tokens == 16
        used = answer.usage.prompt_tokens + answer.usage.completion_tokens
        assert answer.usage.total_tokens == used

    def test_stream_is_whole_and_ends_with_its_usage(self, client):
        stream = client.chat.completions.create(
            model=MODEL,
            messages=MESSAGES,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        tokens = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        assert "".join(tokens) == AnswerText.of(chunks[0].model, TEXT).text(16)
        assert chunks[-1].usage.completion_tokens == 16
        assert len({chunk.id for chunk in chunks}) == 1

    def test_stream_tells_no_usage_unasked(self, client):
        stream = client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        assert all(chunk.usage is None and chunk.choices for chunk in stream)

    def test_models_are_those_of_the_team(self, cluster, client):
        names = {model.id for model in client.models.list()}
        assert {"linen-small", "linen-large"} <= names
        catalogue = client.with_options(api_key=cluster.secrets.team_keys["catalogue"])
        assert "linen-large" not in {model.id for model in catalogue.models.list()}


class TestErrors:
    def test_bad_key(self, client):
        stranger = client.with_options(api_key="wrong")
        with pytest.raises(openai.AuthenticationError) as caught:
            stranger.chat.completions.create(model=MODEL, messages=MESSAGES)
        assert caught.value.body["run_state"] == "not_run"

    def test_unknown_model(self, client):
        with pytest.raises(openai.NotFoundError) as caught:
            client.chat.completions.create(model="no-such", messages=MESSAGES)
        assert caught.value.body["run_state"] == "not_run"
        assert caught.value.code

    def test_model_of_other_teams(self, cluster, client):
        catalogue = client.with_options(api_key=cluster.secrets.team_keys["catalogue"])
        with pytest.raises(openai.PermissionDeniedError) as caught:
            catalogue.chat.completions.create(model="linen-large", messages=MESSAGES)
        assert caught.value.body["run_state"] == "not_run"

    def test_malformed_messages(self, client):
        with pytest.raises(openai.BadRequestError) as caught:
            client.chat.completions.create(model=MODEL, messages=[])
        assert caught.value.body["run_state"] == "not_run"
