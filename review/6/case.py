"""Streams that the last stop of a rolling restart cuts can't be taken up.

Three machines are stopped with SIGTERM and started again in turn (`roll_term`, share 1). There is
one software version throughout. 24 resumable streams of 11 s begin at machine 3 a second before its
SIGTERM; it cuts them as its grace time ends. The clients take them up at machines 1 and 2, which
have run for longer than ContactMs by then; meanwhile as many new streams begin there.
TROUBLE=last: only machine 3 is stopped. TROUBLE=0: none is.
"""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402

STREAMS, GAP_S, TURN_S, RETRY_S = 24, 2.0, 2.0, 0.3
KEY = "key-of-tenant-one"


async def read_stream(world, node, id, more, gap_s, limit_s=12.0):
    """Reads a stream until its end or a gap; returns its status, last event id and whether it ended."""
    ip, port = node.front.split(":")
    status, last, ended, writer = None, 0, False, None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        head = [f"POST /ask/{id} HTTP/1.1", "Host: site.example", f"X-Request-Id: {id}",
                f"X-Deadline-Ms: {int(limit_s * 1000)}", f"Authorization: Bearer {KEY}", "X-Model: m",
                "X-Token-Usage: 800,294", f"X-Prompt-Prefix: {id[8:]}:500,{id[:8]}:300",
                "Content-Length: 2"] + more
        world.record.note(f"client sends {id} to {node.name} {more}")
        writer.write(("\r\n".join(head) + "\r\n\r\nhi").encode())
        line, headers = await asyncio.wait_for(w.read_head(reader), gap_s)
        status = int(line.split(" ")[1])
        if status != 200:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            world.record.note(f"{node.name} answers {id}: {status} {body!r} "
                              f"retry-after {headers.get('retry-after')}")
        while status == 200 and not ended:
            line = await asyncio.wait_for(reader.readline(), gap_s)
            if line.startswith(b"id: "):
                last = int(line[4:])
            ended = line == b"0\r\n"
            if line == b"":
                break
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        world.record.note(f"client leaves {id} at {node.name}: {type(error).__name__}")
    finally:
        if writer:
            writer.transport.abort()
    return status, last, ended


async def client(world, number, totals):
    id, began = "%016x" % random.getrandbits(64), time.monotonic()
    status, last, ended = await read_stream(world, world.nodes[2], id, [], GAP_S)
    world.record.note(f"client {number}: {id} status {status} up to event {last} ended {ended}")
    if ended or not last:
        totals["ended"] += ended
        return
    await asyncio.sleep(RETRY_S)
    again = "%016x" % random.getrandbits(64)
    node = world.nodes[number % 2]
    totals["taken up"] += 1
    status, more, ended = await read_stream(
        world, node, again, [f"Last-Event-Id: {last}", f"Resumes: {id}"], 4.0,
        began + 12.0 - time.monotonic())
    world.record.note(f"client {number}: takes {id} up as {again} after {last}: status {status} "
                      f"up to event {more} ended {ended}")
    totals["went on"] += more > last
    totals["refused"] += status == 503
    new = "%016x" % random.getrandbits(64)
    status, last, ended = await read_stream(world, node, new, [], 4.0)
    totals["new"] += 1
    totals["new began"] += last > 0


async def case(world, trouble):
    if not await world.open(3, 3, 0, [{"Name": "tenant-one", "ApiKeys": [KEY], "Prepaid": 10**8}]):
        return None
    for replica in world.replicas:
        replica.event_s = 0.22  # a stream of 49 events takes 11 s
    totals = dict.fromkeys(["ended", "taken up", "went on", "refused", "new", "new began"], 0)

    async def restart(node):
        node.kill(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), 8.0)
        except asyncio.TimeoutError:
            await node.end()
        world.record.note(f"{node.name} has ended")
        await asyncio.sleep(0.3)
        await node.start()
        return await node.wait_ready()

    if trouble == "1":
        for node in world.nodes[:2]:
            if not await restart(node):
                return None
            await asyncio.sleep(TURN_S)
    tasks = [asyncio.create_task(client(world, number, totals)) for number in range(STREAMS)]
    await asyncio.sleep(1.0)
    if trouble in ("1", "last"):
        await restart(world.nodes[2])
    await asyncio.gather(*tasks)
    world.record.say(str(totals))
    if totals["taken up"] < 12:
        world.record.say("fewer than 12 streams were taken up")
        return False
    share = totals["went on"] / totals["taken up"]
    of_new = totals["new began"] / max(1, totals["new"])
    world.record.say(f"{share:.2f} of the streams that were taken up go on, {of_new:.2f} of the new "
                     f"ones begin; the rule asks for half of that")
    return share < of_new / 2


w.main(case, FOLDER)
