"""Streams of a machine that lost power can't be taken up once a release has begun.

24 resumable streams run through machine 1, all at software v1. The machine loses power (dark for
3.4 s: it is stopped, so that its connections hang, then killed and started again). RELEASE_S later
the first replica of v2 is listed beside three of v1, which go on serving. The clients give their
streams up after a gap of 3.2 s and take them up at the other six machines; meanwhile as many new
streams begin there. TROUBLE=power, TROUBLE=release: only one of the two. TROUBLE=0: neither.
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

STREAMS, DARK_S, RELEASE_S, GAP_S = 24, 3.4, 1.0, 3.2
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
    status, last, ended = await read_stream(world, world.nodes[0], id, [], GAP_S)
    world.record.note(f"client {number}: {id} status {status} up to event {last} ended {ended}")
    if ended or not last:
        totals["ended"] += ended
        return
    again = "%016x" % random.getrandbits(64)
    node = world.nodes[1 + number % 6]
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
    if not await world.open(7, 3, 0, [{"Name": "tenant-one", "ApiKeys": [KEY], "Prepaid": 10**8}]):
        return None
    for replica in world.replicas:
        replica.event_s = 0.1  # a stream of 49 events takes 5 s
    totals = dict.fromkeys(["ended", "taken up", "went on", "refused", "new", "new began"], 0)
    tasks = [asyncio.create_task(client(world, number, totals)) for number in range(STREAMS)]
    await asyncio.sleep(1.0)
    if trouble in ("1", "power"):
        world.nodes[0].kill(signal.SIGSTOP)
    await asyncio.sleep(RELEASE_S)
    if trouble in ("1", "release"):
        new = w.Replica(world.record, "i-model-new", "model")
        new.version, new.event_s = "v2", 0.1
        await new.start(world.net + ".1")
        await world.store.put("servers", new.name, new.entry())
        world.record.note("a replica of v2 is listed")
    await asyncio.sleep(DARK_S - RELEASE_S)
    if trouble in ("1", "power"):
        await world.nodes[0].end()
        await world.nodes[0].start()
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
