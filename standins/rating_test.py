from standins.common import serving
from standins.rating import Rating, parse_quality
from standins.testing import Ask, asker


def request(ask: Ask, number: int, version: str = "a@1", text: str = "x"):
    asked = {"request_id": f"r{number}", "version": version, "class": "drafting"}
    return ask("POST", "/ratings/requests", asked | {"team": "t", "text": text})


def mean(ratings: list[dict], version: str) -> float:
    scores = [rating["score"] for rating in ratings if rating["version"] == version]
    return sum(scores) / len(scores)


class TestRatings:
    def test_scores_follow_quality_and_bad_text(self):
        quality = parse_quality("a@1=0.9,a@2=0.6")
        with serving(Rating(quality, delay_seconds=0), threads=4) as server:
            ask = asker(server)
            for number in range(20):
                assert request(ask, number)[0] == 202
                request(ask, 100 + number, "a@2")
                request(ask, 200 + number, "a@3", "BAD x")
            ratings = ask("GET", "/ratings?after=0&limit=100")[1]["ratings"]
            assert len(ratings) == 60
            assert abs(mean(ratings, "a@1") - 0.9) < 0.05
            assert abs(mean(ratings, "a@2") - 0.6) < 0.05
            assert mean(ratings, "a@3") < 0.2

    def test_reading_goes_on_after_a_number(self):
        with serving(Rating(delay_seconds=0), threads=4) as server:
            ask = asker(server)
            for number in range(3):
                request(ask, number)
            first = ask("GET", "/ratings?after=0&limit=2")[1]
            assert [rating["seq"] for rating in first["ratings"]] == [1, 2]
            rest = ask("GET", f"/ratings?after={first['next']}")[1]
            assert [rating["seq"] for rating in rest["ratings"]] == [3]
            assert ask("GET", "/ratings?after=3")[1] == {"ratings": [], "next": 3}

    def test_ratings_are_late(self):
        with serving(Rating(delay_seconds=60), threads=4) as server:
            ask = asker(server)
            request(ask, 1)
            assert ask("GET", "/ratings?after=0")[1] == {"ratings": [], "next": 0}

    def test_a_share_never_comes(self):
        with serving(Rating(delay_seconds=0), threads=4) as server:
            ask = asker(server)
            ask("POST", "/_faults", {"lose_share": 1.0})
            request(ask, 1)
            assert ask("GET", "/ratings?after=0")[1]["ratings"] == []
            counts = ask("GET", "/_counts")[1]
            assert counts == {"requests": 1, "rated": 0, "lost": 1}

    def test_malformed_requests_are_refused(self):
        with serving(Rating(), threads=2) as server:
            assert asker(server)("POST", "/ratings/requests", {})[0] == 400
