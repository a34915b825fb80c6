"""A job's cheap machine is taken back four times, then the leader ends; no machine is rented for the job any more.

LEADER=0 leaves the leader alone, LOSSES=n sets how often the machine is taken (4). Both show what
the fault depends on, and are no part of the case.
"""
import asyncio, os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))
from standins import *

LEADER = os.environ.get('LEADER', '1') != '0'
LOSSES = int(os.environ.get('LOSSES', '4'))
MACHINES = 16     # cheap ones; all but four are full with another job
NOTICE_S = 8.0    # of the site; the last machine gets none
BACK_S = 3.0      # a controller is back so long after its end
RUN_S = 12.0      # the task's run time
ENDS_S = 113.0    # of the script


async def run():
    world = World(HERE, capacity=MACHINES + 16)
    world.runs = {'run-survey-0': 1e6, 'run-survey-1': RUN_S}
    try:
        return await play(world)
    finally:
        await world.end()


async def ask(world):
    for node in world.nodes:
        answer = await ask_once(node.port, 'GET', '/v1/jobs/run-survey-1', timeout=2.0)
        if answer and answer[0] == 200:
            return answer[2]
    return None


async def leader(world):
    """The leader, as a controller names it."""
    for node in world.nodes:
        answer = await ask_once(node.port, 'GET', '/v1/blocks', timeout=1.0)
        if answer and answer[0] == 200 and answer[2].get('leader') in world.names:
            return world.nodes[world.names[answer[2]['leader']]]
    raise CannotRun('no leader')


async def runs_on(world, until):
    """The machine on which the task runs."""
    while time.monotonic() < until:
        for name, worker in world.workers.items():
            if any(p == 'run-survey-1/0' and t['phase'] == 'running' for (p, _), t in worker.tasks.items()):
                return name
        await asyncio.sleep(0.05)
    raise CannotRun('the task does not run')


async def taken(world, name, notice):
    """The cloud takes a cheap machine back, with or without a notice. It is not listed any more then."""
    worker = world.workers[name]
    if notice:
        world.record.note('%s has a notice of %.0f s' % (name, NOTICE_S))
        worker.taken_at = time.monotonic() + NOTICE_S
        worker.changed.set()
        await asyncio.sleep(NOTICE_S)
    # With a notice the service has given the machine back by then.
    if world.cloud.boxes.pop(name, None):
        world.record.note('%s is taken back' % name)
        del world.workers[name]
        await worker.stop()


async def accept(world, spec):
    answer = await ask_once(world.nodes[0].port, 'POST', '/v1/jobs', spec)
    world.record.note('submit %s: %s' % (spec['uid'], answer and (answer[0], answer[2])))
    if not answer or answer[0] != 201:
        raise CannotRun('the job is not accepted')


async def play(world):
    await world.state.start()
    await world.cloud.start()
    for i in range(MACHINES):
        await world.cloud.rent('tre-small', world.zones[i % 3], True, boot=False)
    for node in world.nodes:
        await node.start()
    await world.until_healthy(world.nodes)
    # Another job of the team takes all machines but four, for as long as this runs.
    await accept(world, job('run-survey-0', jobclass='color-survey', rank='idle', shape='standing',
                            pieces=MACHINES - 4, cpus=4.0, guess_s=0.0))
    until = time.monotonic() + 15.0
    while sum(len(w.tasks) for w in world.workers.values()) < MACHINES - 4:
        if time.monotonic() > until:
            raise CannotRun('the machines are not full')
        await asyncio.sleep(0.1)
    await accept(world, job('run-survey-1', jobclass='color-survey', rank='idle', cpus=4.0, guess_s=RUN_S))
    if TROUBLE:
        for i in range(LOSSES):
            name = await runs_on(world, time.monotonic() + 35.0)
            await asyncio.sleep(1.0)
            await taken(world, name, notice=i < LOSSES - 1)
        if LEADER:
            await asyncio.sleep(1.0)
            node = await leader(world)
            await node.kill()
            world.record.note('%s, the leader, is killed' % node.name)
            await asyncio.sleep(BACK_S)
            await node.start()
    over, last = time.monotonic() - BEGAN, None
    while time.monotonic() < BEGAN + ENDS_S:
        now = await ask(world)
        if now != last:
            last = now
            world.record.note('run-survey-1: %s' % now)
        if now and now['phase'] == 'done':
            break
        await asyncio.sleep(0.5)
    done = bool(last) and last['phase'] == 'done'
    text = 'run-survey-1 %s, %.0f s after the troubles; requests for machines: %d; machines: %d' % (
        'done' if done else 'NOT done', time.monotonic() - BEGAN - over, len(world.cloud.hires), len(world.workers))
    world.record.note(text)
    print(text)
    return 0 if done else 1

main(run)
