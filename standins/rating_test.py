from standins.common import serving
from standins.rating import Rating, parse_quality
from standins.testing import HttpClient, client_for


def request_rating(
    client: HttpClient, number: int, version: str = "a@1", text: str = "x"
):
    request = {"request_id": f"r{number}", "version": version, "class": "drafting"}
    return client("POST", "/ratings/requests", request | {"team": "t", "text": text})


def mean_score(ratings: list[dict], version: str) -> float:
    scores = [rating["score"] for rating in ratings if rating["version"] == version]
    return sum(scores) / len(scores)


class TestRatings:
    def test_scores_follow_quality_and_bad_text(self):
        quality = parse_quality("a@1=0.9,a@2=0.6")
        with serving(Rating(quality, delay_seconds=0), threads=4) as server:
            client = client_for(server)
            for number in range(20):
                assert request_rating(client, number)[0] == 202
                request_rating(client, 100 + number, "a@2")
                request_rating(client, 200 + number, "a@3", "BAD x")
            ratings = client("GET", "/ratings?after=0&limit=100")[1]["ratings"]
            assert len(ratings) == 60
            assert abs(mean_score(ratings, "a@1") - 0.9) < 0.05
            assert abs(mean_score(ratings, "a@2") - 0.6) < 0.05
            assert mean_score(ratings, "a@3") < 0.2

    def test_reading_continues_after_a_sequence_number(self):
        with serving(Rating(delay_seconds=0), threads=4) as server:
            client = client_for(server)
            for number in range(3):
                request_rating(client, number)
            first = client("GET", "/ratings?after=0&limit=2")[1]
            assert [rating["seq"] for rating in first["ratings"]] == [1, 2]
            rest = client("GET", f"/ratings?after={first['next']}")[1]
            assert [rating["seq"] for rating in rest["ratings"]] == [3]
            assert client("GET", "/ratings?after=3")[1] == {"ratings": [], "next": 3}

    def test_ratings_are_delayed(self):
        with serving(Rating(delay_seconds=60), threads=4) as server:
            client = client_for(server)
            request_rating(client, 1)
            assert client("GET", "/ratings?after=0")[1] == {"ratings": [], "next": 0}

    def test_a_share_of_ratings_is_lost(self):
        with serving(Rating(delay_seconds=0), threads=4) as server:
            client = client_for(server)
            client("POST", "/_faults", {"lose_share": 1.0})
            request_rating(client, 1)
            assert client("GET", "/ratings?after=0")[1]["ratings"] == []
            counts = client("GET", "/_counts")[1]
            assert counts == {"requests": 1, "rated": 0, "lost": 1}

    def test_malformed_requests_are_rejected(self):
        with serving(Rating(), threads=2) as server:
            assert client_for(server)("POST", "/ratings/requests", {})[0] == 400
