"""Tests of the selection of peers to dial."""

from masticfork.peers.selection import PeerAddress, choose_peers


def fleet(count, zones):
    return [
        PeerAddress(f"h{n}", f"z{n % zones}", f"10.0.0.{n}:1") for n in range(count)
    ]


class TestSelection:
    def test_small_fleet_is_a_full_mesh(self):
        chosen = choose_peers("h0", "z0", fleet(8, 3))
        assert {peer.host for peer in chosen} == {f"h{n}" for n in range(1, 8)}

    def test_large_fleet_selects_two_in_zone_and_one_outside(self):
        chosen = choose_peers("h0", "z0", fleet(1100, 14))
        assert [peer.zone == "z0" for peer in chosen] == [True, True, False]

    def test_other_hosts_replace_missing_zone_peers(self):
        peers = [PeerAddress(f"h{n}", "z1", "10.0.0.1:1") for n in range(1, 30)]
        assert len(choose_peers("h0", "z0", peers)) == 3

    def test_hops_and_links_per_host_are_bounded(self):
        peers = fleet(300, 14)
        neighbours = {peer.host: set() for peer in peers}
        for peer in peers:
            for chosen in choose_peers(peer.host, peer.zone, peers):
                neighbours[peer.host].add(chosen.host)
                neighbours[chosen.host].add(peer.host)
        reached, front, hops = {"h0"}, {"h0"}, 0
        while front := set().union(*(neighbours[host] for host in front)) - reached:
            reached |= front
            hops += 1
        assert len(reached) == 300
        assert hops <= 7
        assert max(map(len, neighbours.values())) <= 9
