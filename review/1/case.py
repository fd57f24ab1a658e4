"""A machine freezes just before a worker of a second software version comes: its streams."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet as f  # noqa: E402
import streams  # noqa: E402

STREAMS = 24       # at the machine that freezes, and later elsewhere
CONTACT_S = 3.0    # contactMs
FREEZE_S = 6.0


def case(fleet, trouble):
    streams.workers(fleet)
    fleet.begin(streams.configuration())
    frozen = fleet.machines[3]  # has no disk, so it counts as no loss
    others = [m for m in fleet.machines if m is not frozen]
    time.sleep(CONTACT_S)
    clients = [streams.Client(fleet, i) for i in range(STREAMS)]
    threads = streams.start(clients, [frozen], others)
    time.sleep(1.5)
    fleet.record.add("%d streams have begun" % sum(bool(c.events) for c in clients))
    if trouble:
        frozen.freeze()
    time.sleep(0.3)
    new = f.Worker(fleet, "llm", streams.serve, zone="plateau", version="v2")
    new.start()
    fleet.until("the new worker registered", lambda: new.acknowledged)
    fleet.record.add("worker %s (v2) is acknowledged" % new.id)
    time.sleep(streams.SILENCE_S)
    fresh = [streams.Client(fleet, 100 + i) for i in range(STREAMS)]
    threads += streams.start(fresh, others, others)
    if trouble:
        time.sleep(FREEZE_S - streams.SILENCE_S - 0.4)
        frozen.thaw()
    for t in threads:
        t.join()
    taken = [c for c in clients if c.taken_up]
    on = sum(c.went_on for c in taken)
    begun = sum(bool(c.events) for c in fresh)
    text = "%d streams were taken up again, %d went on; %d of %d new streams began" % (
        len(taken), on, begun, len(fresh))
    return len(taken) >= 12 and on / len(taken) < begun / len(fresh) / 2, text


f.run_case(HERE, case, disks=3, plain=3)
