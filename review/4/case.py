"""A leader without machines stands still for a moment while the others are away; it never rents a machine again."""
import asyncio, os, signal, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))
from standins import *

STILL_S = 1.6     # the leader stands still for so long; it keeps its lease
BACK_S = 3.0      # a controller is back so long after its end
RUNS_WITHIN_S = 75.0


async def run():
    world = World(HERE, capacity=6)
    try:
        return await play(world)
    finally:
        await world.end()


async def leader(world):
    """The leader, as all controllers name it."""
    until = time.monotonic() + 10.0
    while time.monotonic() < until:
        answers = [await ask_once(n.port, 'GET', '/v1/blocks', timeout=1.0) for n in world.nodes]
        names = {a[2].get('leader') if a and a[0] == 200 else None for a in answers}
        if len(names) == 1 and None not in names:
            return world.nodes[world.names[names.pop()]]
        await asyncio.sleep(0.2)
    raise CannotRun('no leader')


async def play(world):
    # One machine is up at the start, and nothing to do: the service gives it back.
    await world.start([('tre-small', 'hanoi-rack')])
    until = time.monotonic() + 40.0
    while world.workers:
        if time.monotonic() > until:
            raise CannotRun('the idle machine is not given back')
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    first = await leader(world)
    others = [n for n in world.nodes if n is not first]
    world.record.note('%s leads, there is no machine' % first.name)
    if TROUBLE:
        for node in others:
            await node.kill()
            world.record.note('%s is killed' % node.name)
        await asyncio.sleep(0.5)
        first.send(signal.SIGSTOP)
        await asyncio.sleep(STILL_S)
        first.send(signal.SIGCONT)
        await asyncio.sleep(BACK_S - STILL_S - 0.5)
        for node in others:
            await node.start()
    await world.until_healthy(world.nodes)
    await asyncio.sleep(3.0)
    second = await leader(world)
    world.record.note('all is well again, %s leads' % second.name)
    # A user submits a job of one task, which any machine can run.
    spec = job('run-bake-1', loaners=False)
    for node in world.nodes:
        answer = await ask_once(node.port, 'POST', '/v1/jobs', spec)
        world.record.note('submit run-bake-1 at %s: %s' % (node.name, answer and (answer[0], answer[2])))
        if answer and answer[0] in (200, 201):
            break
    else:
        raise CannotRun('the job is not accepted')
    left = min(RUNS_WITHIN_S, 114.0 - (time.monotonic() - BEGAN))
    if left < 60.0:
        raise CannotRun('no time left')
    until, state = time.monotonic() + left, None
    while time.monotonic() < until and state != 'done':
        await asyncio.sleep(1.0)
        answer = await ask_once(world.nodes[0].port, 'GET', '/v1/jobs/run-bake-1', timeout=2.0)
        now = answer and answer[2].get('phase')
        if now != state:
            state = now
            world.record.note('run-bake-1 is %s' % state)
    rented = len(world.cloud.hires)
    for node in world.nodes:
        with open(os.path.join(world.folder, node.name + '.log')) as file:
            for line in file:
                if ' load ' in line and 'max_machines' in line or 'rent' in line or 'leader elected' in line:
                    world.record.note('%s: %s' % (node.name, line.strip()))
    text = 'run-bake-1 %s within %.0f s; requests for machines since: %d' % (
        'done' if state == 'done' else 'NOT done', left, rented)
    world.record.note(text)
    print(text)
    return 0 if state == 'done' else 1

main(run)
