"""Check heartbeats between members over real connections."""

import trio

from members import running_fleet, until, until_joined


def test_all_members_learn_of_all():
    """Members that start with one known peer discover all others."""

    async def main():
        async with running_fleet(12) as members:
            assert len(await until_joined(members)) == 12

    trio.run(main)


def test_a_killed_member_is_found_dead():
    """All other members declare an unresponsive member dead."""

    async def main():
        async with running_fleet(8) as members:
            names = await until_joined(members)
            killed, *others = members
            killed.kill()
            left = names - {killed.name}
            await until(lambda: all(one.live() == left for one in others))

    trio.run(main)


def test_member_behind_a_cut_link_stays_alive():
    """A member that one observer cannot reach refutes the suspicion."""

    async def main():
        async with running_fleet(6) as members:
            names = await until_joined(members)
            observer = members[0]
            peer = observer.heartbeats.membership.successors()[0]
            observer.peer_client.cut.add(peer.peer_address)
            observed = members[int(peer.member.removeprefix('vm-'))]
            own = observed.heartbeats.membership
            await until(lambda: own.local_member.incarnation > 3)
            assert all(one.live() == names for one in members)

    trio.run(main)


def test_healed_partition_merges():
    """Halves that declared each other dead merge after the partition."""

    async def main():
        async with running_fleet(6) as members:
            names = await until_joined(members)
            left, right = members[:3], members[3:]
            cut(left, right)
            cut(right, left)
            await until(lambda: all(len(one.live()) == 3 for one in members))
            for member in members:
                member.peer_client.cut.clear()
            await until(
                lambda: all(one.live() == names for one in members),
                60,
            )

    def cut(from_members, to_members):
        for one in from_members:
            one.peer_client.cut.update(other.address for other in to_members)

    trio.run(main)


def test_a_leaving_member_comes_last():
    """A leaving member is the preferred owner of no slot."""

    async def main():
        async with running_fleet(4) as members:
            names = await until_joined(members)
            leaving, *others = members
            leaving.heartbeats.gossip.table.mark_leaving(trio.current_time())
            leaving.heartbeats.send_soon()
            await until(lambda: owners(others) == names - {leaving.name})

    def owners(members):
        return {
            one.heartbeats.membership.preferred_owner(slot).member
            for one in members
            for slot in range(100)
        }

    trio.run(main)
