import openai
import pytest

from proofs.calling import MODEL, TEAM
from standins.engine_answers import AnswerText
from tools import launch
from tools.launch_options import Options

OPTIONS = Options(
    hosts=2, engines_per_pool=1, tokens=16, token_seconds=0.005, first_token_seconds=0
)
PROMPT = "A quote for six rolls of linen."
MESSAGES = [{"role": "user", "content": PROMPT}]


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture(params=[0, 1])
def client(cluster, request):
    key = cluster.secrets.team_keys[TEAM]
    url = f"{cluster.entry_urls[request.param]}/v1"
    with openai.OpenAI(api_key=key, base_url=url, max_retries=0) as openai_client:
        yield openai_client


class TestAnswers:
    def test_plain_completion_is_complete_with_usage(self, client):
        completion = client.chat.completions.create(model=MODEL, messages=MESSAGES)
        expected_text = AnswerText.of(completion.model, PROMPT).text(16)
        assert completion.choices[0].message.content == expected_text
        assert completion.choices[0].finish_reason == "stop"
        assert completion.usage.completion_tokens == 16
        total = completion.usage.prompt_tokens + completion.usage.completion_tokens
        assert completion.usage.total_tokens == total

    def test_stream_is_complete_and_ends_with_usage(self, client):
        stream = client.chat.completions.create(
            model=MODEL,
            messages=MESSAGES,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        tokens = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        assert "".join(tokens) == AnswerText.of(chunks[0].model, PROMPT).text(16)
        assert chunks[-1].usage.completion_tokens == 16
        assert len({chunk.id for chunk in chunks}) == 1

    def test_stream_has_no_usage_unless_requested(self, client):
        stream = client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        assert all(chunk.usage is None and chunk.choices for chunk in stream)

    def test_models_are_those_of_the_team(self, cluster, client):
        model_ids = {model.id for model in client.models.list()}
        assert {"linen-small", "linen-large"} <= model_ids
        catalogue_client = client.with_options(
            api_key=cluster.secrets.team_keys["catalogue"]
        )
        assert "linen-large" not in {
            model.id for model in catalogue_client.models.list()
        }


class TestErrors:
    def test_bad_key(self, client):
        unauthenticated = client.with_options(api_key="wrong")
        with pytest.raises(openai.AuthenticationError) as raised:
            unauthenticated.chat.completions.create(model=MODEL, messages=MESSAGES)
        assert raised.value.body["run_state"] == "not_run"

    def test_unknown_model(self, client):
        with pytest.raises(openai.NotFoundError) as raised:
            client.chat.completions.create(model="no-such", messages=MESSAGES)
        assert raised.value.body["run_state"] == "not_run"
        assert raised.value.code

    def test_model_of_another_team(self, cluster, client):
        catalogue_client = client.with_options(
            api_key=cluster.secrets.team_keys["catalogue"]
        )
        with pytest.raises(openai.PermissionDeniedError) as raised:
            catalogue_client.chat.completions.create(
                model="linen-large", messages=MESSAGES
            )
        assert raised.value.body["run_state"] == "not_run"

    def test_malformed_messages(self, client):
        with pytest.raises(openai.BadRequestError) as raised:
            client.chat.completions.create(model=MODEL, messages=[])
        assert raised.value.body["run_state"] == "not_run"
