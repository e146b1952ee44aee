"""Cases of host_ends.py: what a host may meet at its start."""
import asyncio
import contextlib
import os
import pathlib
import random
import resource
import signal
import socket
import time

from host_ends import READY_S, case, require


async def start_with_signal_before_settings(bench, number):
    """Starts a host whose settings come from a pipe, and sends it the signal before it has got any of them."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.write_settings()
    settings = host.path.read_bytes()
    host.path.unlink()
    os.mkfifo(host.path)
    host.start(writes_settings=False)
    end = time.monotonic() + READY_S
    while True:
        try:
            pipe = os.open(host.path, os.O_WRONLY | os.O_NONBLOCK)  # fails until the host has opened its settings
            break
        except OSError:
            require(time.monotonic() < end, "the host does not read its settings")
            await asyncio.sleep(0.001)
    host.send_signal(number)
    await asyncio.sleep(0.1)
    require(host.is_alive(), f"signal {number} before the settings were read ended the host: {host.child.poll()}")
    os.write(pipe, settings)
    os.close(pipe)
    return host


@case
async def reload_signal_before_settings(bench):
    """SIGHUP that comes before a host has read its settings ends it."""
    host = await start_with_signal_before_settings(bench, signal.SIGHUP)
    await host.until_ready()


@case
async def stop_signal_before_settings(bench):
    """SIGTERM that comes before a host can handle it ends it without a line that says so."""
    host = await start_with_signal_before_settings(bench, signal.SIGTERM)
    host.expected_end = True
    code = await host.end(signal.SIGTERM)
    require(code == 0 and host.events("stopped"), f"the host ended with {code}: {host.log_lines()[-2:]}")


@case
async def stop_signal_while_settings_are_missing(bench):
    """SIGTERM does not end a host that waits for its settings until it has given up."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.start(writes_settings=False)
    await asyncio.sleep(0.5)
    code = await host.end(signal.SIGTERM, limit_s=1)
    require(code == 0 and host.events("stopped"), f"the host ended with {code}: {host.log_lines()[-2:]}")


async def until(holds, text, limit_s):
    """Waits until `holds()` is true."""
    end = time.monotonic() + limit_s
    while not holds():
        require(time.monotonic() < end, text)
        await asyncio.sleep(0.02)


def hold_port(address, port, kind=socket.SOCK_STREAM):
    """Returns a socket that keeps a port in use."""
    holder = socket.socket(socket.AF_INET, kind)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
    holder.bind((address, port))
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder


def held_port(bench, host, setting):
    """Returns a socket that keeps the port of a setting in use."""
    if setting == "datagrams":
        return hold_port(host.address, bench.peers_port, socket.SOCK_DGRAM)
    ports = {**host.ports, "peers": bench.peers_port, "forwarding": bench.peers_port + 1}
    return hold_port(host.address, ports[setting])


@case
async def port_in_use_at_start(bench):
    """A host ends because one of its ports is still in use when it starts."""
    settings = ["metrics", "peers", "datagrams", "forwarding", "callers", "readiness", "directory"]
    await bench.begin(hosts=len(settings), starts=False)
    with contextlib.ExitStack() as held:
        for host, setting in zip(bench.hosts, settings):
            held.enter_context(held_port(bench, host, setting))
            host.start()
        await bench.hosts[0].until_ready()  # serves without its metrics
        await asyncio.sleep(1)
        ended = [(setting, host.child.returncode) for host, setting in zip(bench.hosts, settings)
                 if not host.is_alive()]
        require(not ended, f"ended as a port was in use: {ended}")
        for host, setting in zip(bench.hosts[1:], settings[1:]):
            status, _ = await host.get("readiness", "/readyz")
            require(status == (0 if setting == "readiness" else 503), f"ready without {setting}: {status}")
        _, listed = await bench.hosts[0].get("directory", "/resolve?zone=hall")
        for host, setting in zip(bench.hosts, settings):
            if setting in ("peers", "datagrams", "forwarding", "callers"):
                require(host.flags["callers"] not in listed.decode(), f"listed without {setting}: {listed}")
        require(bench.hosts[0].flags["callers"] in listed.decode(), f"not listed without metrics: {listed}")
    freed_at = time.monotonic()
    for host, setting in zip(bench.hosts, settings):
        await host.until_ready()
        await until(lambda: host.events("listen_succeeded"), f"{setting}: no line on the port that is free", 2)
        failed, succeeded = host.events("listen_failed"), host.events("listen_succeeded")
        require(len(failed) == 1 and len(succeeded) == 1, f"{setting}: {failed} {succeeded}")
        require({"setting", "address", "reason", "remedy"} <= failed[0].keys(), f"{setting}: {failed[0]}")
        require("none is needed" in failed[0]["remedy"], f"{setting}: taken for one that does not pass: {failed[0]}")
    require(time.monotonic() - freed_at < 2, "not ready 2 s after the ports were free")
    require((await bench.hosts[0].get("metrics", "/metrics"))[0] == 200, "no metrics once their port was free")


@case
async def stop_while_a_port_is_in_use(bench):
    """A host that waits for its ports does not end by a planned stop."""
    await bench.begin(hosts=3, starts=False)
    with contextlib.ExitStack() as held:
        for host, setting in zip(bench.hosts, ("callers", "peers", "datagrams")):
            held.enter_context(held_port(bench, host, setting))
            host.start()
        await asyncio.sleep(0.6)
        for host in bench.hosts:
            host.send_signal(signal.SIGTERM)
        for host in bench.hosts:
            code = await host.end(signal.SIGTERM)
            require(code == 0, f"{host.name} ended with {code}: {host.log_lines()[-3:]}")


@case
async def address_of_another_machine(bench):
    """A host whose address cannot be right waits without end and does not say so."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.flags["callers"] = "192.0.2.1:8080"
    host.start()
    host.expected_end = True
    while host.is_alive():
        require(time.monotonic() - host.started_at < 12, "still runs after 12 s")
        await asyncio.sleep(0.05)
    refused = host.events("invalid_setting")
    require(host.child.returncode == 2 and len(refused) == 1, f"{host.child.returncode} {refused}")
    require(refused[0]["setting"] == "--callers" and refused[0]["value"] == "192.0.2.1:8080", f"{refused}")


def read_to_end(connection):
    """Reads until the other side closes, and closes."""
    while connection.recv(4096):
        pass
    connection.close()


def processor_s(host):
    """The processor time that a host has used, in s."""
    fields = pathlib.Path(f"/proc/{host.child.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@case
async def descriptors_run_out(bench):
    """A host without a free descriptor spends its processor on accepting, and fills its log."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.start(prepare=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)))
    await host.until_ready()
    callers = []
    for _ in range(100):
        caller = socket.create_connection((host.address, host.ports["callers"]))
        caller.sendall(b"GET /status/1 HTTP/1.1\r\n")  # half a head, as idle connections are closed for new ones
        caller.settimeout(10)
        callers.append(caller)
    await asyncio.sleep(0.2)
    used, since = processor_s(host), time.monotonic()
    await asyncio.sleep(2)
    share = (processor_s(host) - used) / (time.monotonic() - since)
    lines = host.events("accept_failed")
    print(f"share of a core {share:.2f}, lines {len(lines)}")
    require(share < 0.2, f"{share:.2f} of a core while no descriptor was free")
    require(1 <= len(lines) <= 3, f"{len(lines)} lines accept_failed in 2 s")
    for caller in callers:  # those accepted late are closed by the time limit of heads as well
        await asyncio.to_thread(read_to_end, caller)
    require(await bench.ask(host, "after") == 200, "no answer once descriptors were free")


def close_standard_descriptors():
    """Closes the descriptors 0 to 2 of the calling process."""
    for descriptor in range(3):
        os.close(descriptor)


@case
async def standard_descriptors_closed_at_start(bench):
    """A host that starts without standard streams writes its log into one of its own sockets."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.start(prepare=close_standard_descriptors)
    await host.until_ready()
    opened = [os.readlink(f"/proc/{host.child.pid}/fd/{descriptor}") for descriptor in range(3)]
    require(opened == ["/dev/null"] * 3, f"descriptors 0 to 2: {opened}")
    require(await bench.ask(host, "unlogged") == 200, "no answer")


def settings_text(host):
    """The settings file of a host, as it is when nothing is wrong with it."""
    host.write_settings()
    return host.path.read_text()


@case
async def settings_file_written_late(bench):
    """A host ends because its settings file is not written yet, or not to its end, when it starts."""
    await bench.begin(hosts=5, starts=False)
    absent, empty, cut, cut_in_number, half = bench.hosts
    texts = {host: settings_text(host) for host in bench.hosts}
    absent.path.unlink()
    empty.path.write_text("")
    cut.path.write_text(texts[cut][:texts[cut].index("--peers=") + 4])
    cut_in_number.path.write_text(texts[cut_in_number][:texts[cut_in_number].index("--callers=") + 14])
    half.path.write_text("".join(texts[half].splitlines(keepends=True)[:3]))
    for host in bench.hosts:
        host.start(writes_settings=False)
    await asyncio.sleep(1)
    ended = [(host.name, host.child.returncode) for host in bench.hosts if not host.is_alive()]
    require(not ended, f"ended before their settings were written: {ended}")
    for host in bench.hosts:
        host.path.write_text(texts[host])
    for host in bench.hosts:
        await host.until_ready(limit_s=3)
        require(len(host.events("settings_incomplete")) == 1, f"{host.log_lines()[:3]}")


@case
async def settings_file_never_complete(bench):
    """A host without its settings waits without end, or does not say what it lacks."""
    await bench.begin(hosts=3, starts=False)
    absent, lacking, fraction = bench.hosts
    lacking.flags.pop("callers")
    fraction.flags["revoke_bound_ms"] = "5000.5"
    expected = {absent: ("LAURELHOIST_BOOT", "cannot be read"), lacking: ("--callers", "is not an address"),
                fraction: ("--revoke_bound_ms", "give a value of type uint32")}
    for host in bench.hosts:
        host.write_settings()
    absent.path.unlink()
    for host in bench.hosts:
        host.start(writes_settings=False)
        host.expected_end = True
    for host in bench.hosts:
        await until(lambda: not host.is_alive(), f"{host.name} still runs after 6 s", 6)
        refused = host.events("invalid_setting")
        require(host.child.returncode == 2 and len(refused) == 1, f"{host.child.returncode} {refused}")
        setting, remedy = expected[host]
        require(refused[0]["setting"] == setting and remedy in refused[0]["remedy"], f"{refused}")


@case
async def settings_file_with_empty_fields(bench):
    """A host ends because fields that its settings are made of have no value."""
    await bench.begin(hosts=1, starts=False)
    host = bench.hosts[0]
    empty = ("cpu_share", "memory_mb", "revoke_bound_ms", "exposure_share", "session_life_s", "retry_window_s")
    host.path.write_text(settings_text(host) + "".join(f"--{name}=\n" for name in empty))
    host.start(writes_settings=False)
    await host.until_ready()
    logged = [line["setting"] for line in host.events("setting_empty")]
    require(logged == [f"--{name}" for name in empty], f"{logged}")


@case
async def settings_out_of_range(bench):
    """A host ends because a setting that it could do without is a number out of range."""
    # The setting, its value, and the value that is to be in force.
    too_low = (("cpu_share", "-1", 0), ("memory_mb", "-0.5", 0), ("caller_buffer_kb", "0", 1),
               ("request_buffer_kb", "0", 1), ("max_answer_kb", "3", 16), ("exposure_share", "0", 1e-6),
               ("exposure_slack", "-1", 0), ("retry_ratio", "-2", 0), ("retry_window_s", "0", 0.1),
               ("retry_slack", "-1", 0), ("session_life_s", "-5", 0), ("cold_overage", "-1", 0),
               ("cold_slack", "-1", 0), ("revoke_bound_ms", "-1", 0), ("stop_grace_ms", "-8000.0", 0))
    too_high = (("cpu_share", "1e400", 1024), ("memory_mb", "inf", 1 << 30), ("exposure_share", "2", 1),
                ("exposure_slack", "inf", 1e9), ("retry_ratio", "1e300", 1e9), ("retry_slack", "inf", 1e9),
                ("session_life_s", "1e9", 86400), ("cold_overage", "1e300", 1e9), ("cold_slack", "inf", 1e9),
                ("revoke_bound_ms", "4294967296", 4294967295), ("caller_buffer_kb", "99999999999999999999", 4294967295))
    no_numbers = (("cpu_share", "nan", 0), ("exposure_share", "nan", 0.15), ("retry_window_s", "nan", 10))
    related = (("max_answer_kb", "2048", 1024),)
    await bench.begin(hosts=4, starts=False)
    expected = dict(zip(bench.hosts, (too_low, too_high, no_numbers, related)))
    bench.hosts[3].flags["answer_buffer_kb"] = "1024"
    for host, values in expected.items():
        host.flags.update({name: value for name, value, _ in values})
        host.start()
    for host, values in expected.items():
        await host.until_ready()
        logged = {line["setting"]: line for line in host.events("setting_bounded")}
        require(set(logged) == {f"--{name}" for name, _, _ in values}, f"{sorted(logged)}")
        for name, _, used in values:
            line = logged[f"--{name}"]
            require(line["used"] == used and "give a number from" in line["remedy"], f"{line}")


@case
async def optional_addresses_that_are_none(bench):
    """A host ends because an address that it could do without is empty or none."""
    metrics = ("", ":9100", "nowhere", "127.0.0.1:70000")
    await bench.begin(hosts=len(metrics) + 1, starts=False)
    for host, address in zip(bench.hosts, metrics):
        host.flags["metrics"] = address
    bench.hosts[-1].flags["forwarding"] = "127.0.0.1:"
    for host in bench.hosts:
        host.start()
    for host in bench.hosts:
        await host.until_ready()
    for host, address in zip(bench.hosts, metrics):
        ignored = host.events("setting_ignored")
        require([line["value"] for line in ignored] == [address] * bool(address), f"{address!r}: {ignored}")
        require(all(line["setting"] == "--metrics" and "write an IP number" in line["remedy"] for line in ignored),
                f"{ignored}")
    ignored = bench.hosts[-1].events("setting_ignored")
    require([line["setting"] for line in ignored] == ["--forwarding"], f"{ignored}")
    socket.create_connection((bench.hosts[-1].address, bench.peers_port + 1), timeout=1).close()  # its default


@case
async def settings_file_of_another_release(bench):
    """A host ends because its settings file has a field that this release does not know, or 5000.0 for 5000."""
    await bench.begin(hosts=3, starts=False)
    fields, numbers, unended = bench.hosts
    fields.path.write_text(settings_text(fields) + "--field_to_come=1\n--another\nthird = 3\n")
    numbers.path.write_text(settings_text(numbers) + "--revoke_bound_ms=5000.0\n--stop_grace_ms=8000.00\n")
    unended.path.write_text(settings_text(unended).rstrip("\n"))
    for host in bench.hosts:
        host.start(writes_settings=False)
    for host in bench.hosts:
        await host.until_ready()
    unknown = [line["setting"] for line in fields.events("setting_unknown")]
    require(unknown == ["--field_to_come", "--another"], f"{unknown}")


@case
async def settings_file_changes_while_running(bench):
    """A host ends because its settings file is for a while empty, cut, removed or of another release."""
    await bench.begin(hosts=4, starts=False)
    texts = {host: settings_text(host) for host in bench.hosts}
    for host in bench.hosts:
        host.start()
    for host in bench.hosts:
        await host.until_ready()
    empty, cut, removed, other = bench.hosts
    empty.path.write_text("")
    cut.path.write_text(texts[cut][:texts[cut].index("--seeds=") + 13])
    removed.path.unlink()
    other.path.write_text("--field_to_come=1\n--revoke_bound_ms=many\n" + texts[other])
    await asyncio.sleep(2.5)
    for host in bench.hosts:
        host.require_alive()
        host.path.write_text(texts[host])
    await asyncio.sleep(2.5)
    for host in bench.hosts:
        host.require_alive()
        require(await host.is_ready(), f"{host.name} is not ready any more")
        require(len(host.events("settings_reloaded")) == 2, f"{host.events('settings_reloaded')}")


@case
async def hosts_long_before_the_store(bench):
    """A host ends, or is not ready soon, because it starts before the store and in another order than its seeds."""
    await bench.begin(hosts=4, starts=False)
    bench.store.crash()
    for host in random.Random(5).sample(bench.hosts, len(bench.hosts)):
        host.start()
        await asyncio.sleep(0.1)
    await asyncio.sleep(5)
    for host in bench.hosts:
        host.require_alive()
    bench.store.server = await asyncio.start_server(bench.store.serve_safely, "127.0.0.1", bench.store.port,
                                                    limit=1 << 20)
    since = time.monotonic()
    for host in bench.hosts:
        await host.until_ready(limit_s=12)
    print(f"ready {time.monotonic() - since:.2f} s after the store")


@case
async def restarts_with_open_connections(bench):
    """A restart on the same ports fails while callers still hold connections to the process before."""
    await bench.begin(hosts=2)
    host = bench.hosts[0]
    times, kept = [], []
    for number in [signal.SIGKILL, signal.SIGKILL, signal.SIGTERM] * 3 + [signal.SIGKILL]:
        for name in ("callers", "readiness", "directory", "metrics"):
            kept.append(await asyncio.open_connection(host.address, host.ports[name]))
        for _ in range(5):
            kept.append(await asyncio.open_connection(host.address, host.ports["callers"]))
            kept[-1][1].write(b"GET /status/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n\r\n")
        code = await host.end(number)
        require(code == (0 if number == signal.SIGTERM else -9), f"ended with {code} by signal {number}")
        host.start()
        times.append(await host.until_ready())
        require(await bench.ask(host, f"r-{len(times)}") == 200, f"no answer after restart {len(times)}")
    ended = host.events("process_ended") + host.events("invalid_setting")
    require(not ended, f"{ended}")
    print(f"ready after {max(times):.2f} s at most")


@case
async def start_on_a_slow_core(bench):
    """A host that runs a quarter of the time is not ready in time, or ends."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.start()
    while not await is_ready_at_a_quarter(host):
        host.require_alive()
        require(time.monotonic() - host.started_at < READY_S, f"not ready after {READY_S} s")
    print(f"ready after {time.monotonic() - host.started_at:.2f} s")


async def is_ready_at_a_quarter(host):
    """Asks whether a host is ready, while it runs for a quarter of the time."""
    question = asyncio.ensure_future(host.is_ready())
    while not question.done():
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.075)
        host.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.025)
    return question.result()


@case
async def hosts_of_one_address(bench):
    """Hosts that share an IP address disturb each other's start."""
    await bench.begin(hosts=3, starts=False)
    address = bench.hosts[0].address
    for host in bench.hosts:
        host.address = address
        host.ports = {name: bench.free_port(address) for name in host.ports}
        host.flags.update({name: f"{address}:{port}" for name, port in host.ports.items()})
        host.flags.update(peers=f"{address}:{bench.free_port(address)}",
                          forwarding=f"{address}:{bench.free_port(address)}")
        host.start()
    for host in bench.hosts:
        await host.until_ready()
        require(await bench.ask(host, f"one-{host.name}") == 200, f"{host.name} does not answer")
