"""Cases of host_ends.py: callers of a sound service beside an endpoint whose answers do not end."""
import asyncio
import json
import pathlib
import sys
import time

from endless_traffic import processor_s
from host_ends import case, require
from host_ends_one_answer import begin_beside_sound_service

TARGET_LATENCY_S = 0.1  # of the sound service's route, whose endpoint takes 5 to 50 ms
MIN_IN_TIME = 0.99      # share of answers within the target latency
MIN_SERVED = 0.9        # of what the same host serves alone
SOUND_CALLERS = 8
MEASURED_S = 1.5
RISE_S = 0.3            # from the start of the faulty service's callers until the measurement
FAULTY_CALLERS = (1, 4)
SPEEDS = ("usual", "quota")
TRAFFIC = pathlib.Path(__file__).with_name("endless_traffic.py")
# By form: the kinds of routes that are asked, each with the status of the answers.
FORMS = {
    "body_without_length": (("safe", "success"), ("safe", "failure")),
    "chunks_of_a_byte": (("safe", "success"), ("safe", "failure")),
    "one_chunk": (("safe", "success"), ("safe", "failure")),
    "whole_events": (("streaming", "success"),),
}


class Traffic:
    """A process of endless_traffic.py."""

    async def start(self, *arguments):
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, str(TRAFFIC), *(str(each) for each in arguments),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.ready = json.loads(await self.child.stdout.readline())
        return self

    async def end(self):
        """Returns what the process has counted."""
        self.child.stdin.close()
        counted = json.loads(await self.child.stdout.readline())
        await self.child.wait()
        return counted


async def measure_sound(bench, host, label):
    """Returns the latencies, in order, of what callers of the sound service are served within a while."""
    latencies, asked, end = [], 0, time.monotonic() + MEASURED_S

    async def ask_again(caller):
        nonlocal asked
        while (begun := time.monotonic()) < end:
            asked += 1
            status = await bench.ask(host, f"{label}-{caller}-{asked}", "/sound/1")
            if status == 200 and time.monotonic() <= end:
                latencies.append(time.monotonic() - begun)
    await asyncio.gather(*(ask_again(caller) for caller in range(SOUND_CALLERS)))
    return sorted(latencies)


def describe(latencies):
    if not latencies:
        return "0 served"
    return (f"{len(latencies)} served, median {latencies[len(latencies) // 2] * 1000:.0f} ms, "
            f"99th {latencies[int(len(latencies) * 0.99)] * 1000:.0f}")


async def measure_beside(bench, host, form, kind, status, callers, speed):
    """Returns the latencies alone, those beside the faulty service, and a line about both."""
    names = ("i-0", "i-1")
    endpoints = await Traffic().start("endpoints", form, status, *names)
    for name in names:
        bench.put_entry(name, port=endpoints.ready["ports"][name], slots=64)
    host.start()
    await host.until_ready()
    quota = await Traffic().start("quota", host.child.pid) if speed == "quota" else None
    label = f"{form}-{kind}-{status}-{callers}-{speed}"
    alone = await measure_sound(bench, host, f"alone-{label}")
    faulty = await Traffic().start("callers", host.address, host.ports["callers"], kind, callers)
    await asyncio.sleep(RISE_S)
    busy_before, before = processor_s(host.child.pid), time.monotonic()
    beside = await measure_sound(bench, host, f"beside-{label}")
    busy_share = (processor_s(host.child.pid) - busy_before) / (time.monotonic() - before)
    stopped_s = (await quota.end())["stopped_s"] if quota else 0
    asked = (await faulty.end())["asked"]
    host.require_alive()
    busy_s = processor_s(host.child.pid)
    await host.end()
    sent_mb = (await endpoints.end())["bytes"] / 1e6
    text = (f"{form}, {kind}, {status}, {callers} callers, {speed}: alone {describe(alone)}; beside "
            f"{describe(beside)}; {busy_share:.2f} s a second, {sent_mb:.0f} MB sent, {busy_s / sent_mb * 1000:.1f} ms "
            f"of the process a MB, {asked} asked, "
            f"stopped for {stopped_s:.1f} s")
    print(f"  {text}", flush=True)
    return alone, beside, text


async def require_others_served(bench, form, speed):
    host, _ = await begin_beside_sound_service(bench)
    config = bench.store.kinds["config"]["main"]["spec"]
    config["routes"][-1]["target_latency_ms"] = int(TARGET_LATENCY_S * 1000)
    bench.put_config(routes=config["routes"], services=config["services"])
    too_few = []
    for kind, status in FORMS[form]:
        for callers in FAULTY_CALLERS:
            alone, beside, text = await measure_beside(bench, host, form, kind, status, callers, speed)
            in_time = sum(each <= TARGET_LATENCY_S for each in beside)
            if (not beside or in_time < MIN_IN_TIME * len(beside)) and len(beside) < MIN_SERVED * len(alone):
                too_few.append(text)
    require(not too_few, "callers of a sound service wait: " + "; ".join(too_few))


def register(form, speed):
    async def others_beside(bench):
        await require_others_served(bench, form, speed)
    others_beside.__name__ = f"others_beside_{form}_at_{speed}_speed"
    others_beside.__doc__ = "Callers of a sound service wait while answers of another one do not end."
    case(others_beside)


for each_form in FORMS:
    for each_speed in SPEEDS:
        register(each_form, each_speed)
