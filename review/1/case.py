"""A worker ends and is back under its id with another software version; its heartbeat is late."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet as f  # noqa: E402
import streams  # noqa: E402

STREAMS = 24
AWAY_S = 0.3       # for which the worker is down
LATE_S = 1.5       # after its start, its first heartbeat comes


def case(fleet, trouble):
    streams.workers(fleet)
    fleet.begin(streams.configuration())
    time.sleep(2.0)
    old = fleet.workers[0]
    if trouble:
        old.close()
        fleet.record.add("worker %s (%s) ends" % (old.id, old.version))
        time.sleep(AWAY_S)
        new = f.Worker(fleet, "llm", streams.serve, zone=old.zone, version="v2", ident=old.id,
                       port=old.port)
        new.beats_from = time.monotonic() + LATE_S
        new.start()
        fleet.record.add("worker %s is back, with version %s" % (new.id, new.version))
    time.sleep(0.1)
    clients = [streams.Client(fleet, i) for i in range(STREAMS)]
    threads = streams.start(clients, fleet.machines, fleet.machines)
    time.sleep(3.0)
    if trouble:
        if not new.acknowledged:
            raise f.CannotRun("the heartbeat of the worker was not taken")
        new.close()
        fleet.record.add("worker %s (%s) ends" % (new.id, new.version))
    for t in threads:
        t.join()
    mixed = [c for c in clients if len(c.versions) > 1]
    return len(mixed) > 2, "%d of %d streams hold events of two software versions" % (
        len(mixed), len(clients))


f.run_case(HERE, case)
