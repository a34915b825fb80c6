"""Users give up on a controller that stands still; afterwards it takes no submission any more."""
import asyncio, os, signal, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))
from standins import *

WAVE = 126        # jobs at the start of a day, as in the grown deployment of three controllers
STILL_S = 7.0     # a controller stands still for so many seconds
PATIENCE_S = 60.0 # a user tries for so long


async def run():
    world = World(HERE, capacity=12)
    try:
        return await play(world)
    finally:
        await world.end()


async def wave(world, balancer, number, victim):
    """All users submit at once while one controller stands still."""
    if TROUBLE:
        victim.send(signal.SIGSTOP)
    users = [asyncio.create_task(submit(world, balancer, job('run-w%d-%03d' % (number, i), cpus=1.0)))
             for i in range(WAVE)]
    await asyncio.sleep(STILL_S)
    if TROUBLE:
        victim.send(signal.SIGCONT)
    return users


async def play(world):
    await world.start([('tre-large', z) for z in world.zones])
    balancer = Balancer(world)
    balancer.start()
    await asyncio.sleep(4.0)
    victim = world.nodes[1]
    users = await wave(world, balancer, 1, victim)
    await asyncio.sleep(8.0)
    users += await wave(world, balancer, 2, victim)
    await asyncio.sleep(12.0)
    # Nothing is wrong any more. On a connection to each controller a user submits one job.
    ends = await asyncio.gather(*[one_user(world, n) for n in world.nodes])
    accepted = await asyncio.gather(*users)
    world.record.note('of the two waves %d of %d accepted' % (sum(a in (200, 201) for a in accepted), len(accepted)))
    broken = [n.name for n, ok in zip(world.nodes, ends) if not ok]
    world.record.note('refused for %.0f s while healthy: %s' % (PATIENCE_S, broken or 'none'))
    print('refused for %.0f s while healthy: %s' % (PATIENCE_S, broken or 'none'))
    return 1 if broken else 0


async def one_user(world, node):
    """Returns whether the job is accepted, or the controller says that it can take no request."""
    connection, until = Connection(node.port), time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        health = await ask_once(node.port, 'GET', '/healthz', timeout=1.0)
        answer = await connection.ask('POST', '/v1/jobs', job('run-last-' + node.name, cpus=1.0))
        world.record.note('after the trouble: %s healthz %s, submission %s' % (
            node.name, health and health[0], answer and (answer[0], answer[2])))
        if not health or health[0] != 200:
            return True
        if answer and answer[0] in (200, 201):
            return True
        await asyncio.sleep(max(1.0, float(answer[1].get('retry-after', 1)) if answer else 1.0))
    return False

main(run)
