#!/usr/bin/env python3
"""The main job, end to end over separate processes: prints each step and a closing summary.

A platform, two engines, one tool service and three nodes in three zones are started; a program is
opened, makes a model call that streams, a tool call, and a second model call that sees the
history, and ends. Exits 0 when all of it went well, and leaves no process behind.
"""

import argparse
import sys
import time

import fleet

TENANT_KEY = "granite-cellar-key"
ZONES = ["zone-a", "zone-b", "zone-c"]


def say(text):
    print(text, flush=True)


def start_fleet(processes):
    platform = processes.start_platform()
    say(f"platform          {platform.address}")
    engines = [processes.start_engine(f"engine-{index}") for index in (1, 2)]
    for engine in engines:
        say(f"{engine.name}          {engine.address}")
    tool = processes.start_tool("tool-1", "--latency", "lognormal:20ms:0.3")
    say(f"tool-1            {tool.address}")
    nodes = processes.start_nodes(ZONES, platform)
    for node, zone in zip(nodes, ZONES):
        say(f"{node.name} in {zone}  callers {node.caller}, operators {node.operator}")
    return engines, tool, nodes


def configure(nodes, engines, tool):
    objects = fleet.standard_objects(engines, [tool], {"granite-cellar": TENANT_KEY})
    version = nodes[0].apply(objects)
    for node in nodes:
        node.wait_version(version)
    say(f"configuration     version {version} in force on all nodes")


def run_program(nodes):
    """The program's calls, each through another node. Returns the results and the latency."""
    caller = fleet.Caller(TENANT_KEY)
    addresses = [node.caller for node in nodes]
    begun = time.monotonic()
    program = caller.open_program(addresses[0])
    say(f"program           {program} opened")

    stream = caller.stream(addresses[0], program,
                           fleet.model_call(1, "Which wine goes with pear tart?"))
    text, parts, first = fleet.read_stream(stream.events())
    stream.close()
    if first is None or text != first["output"]:
        raise fleet.FleetError("the streamed text is not the whole answer")
    say(f"call 1, model     streamed in {parts} parts: {text[:40]!r}...")

    status, _, second = caller.call(addresses[1], program,
                                    fleet.tool_call(2, "lookup", {"item": "Sauternes"}, True))
    if status != 200:
        raise fleet.FleetError(f"the tool call answered {status}: {second}")
    say(f"call 2, tool      {second['output'][:60]}")

    status, _, third = caller.call(addresses[2], program, fleet.model_call(3, "Is it in stock?"))
    if status != 200:
        raise fleet.FleetError(f"the second model call answered {status}: {third}")
    if third["usage"]["prompt_tokens"] <= first["usage"]["prompt_tokens"]:
        raise fleet.FleetError("the second model call did not see the history")
    say(f"call 3, model     {third['usage']['prompt_tokens']} prompt tokens, "
        f"{third['usage']['cached_tokens']} of them cached")

    _, _, history = caller.history(addresses[1], program)
    roles = [message["role"] for message in history["messages"]]
    if roles != ["user", "assistant", "tool", "user", "assistant"]:
        raise fleet.FleetError(f"the history is not that of three calls: {roles}")
    status, _, ended = caller.end_program(addresses[0], program)
    if status != 200:
        raise fleet.FleetError(f"ending the program answered {status}: {ended}")
    seconds = time.monotonic() - begun
    say(f"program           ended, {ended['spent_tokens']} tokens spent")
    return [first, second, third], seconds


def stop_fleet(nodes):
    for node in nodes:
        code = node.stop()
        if code != 0:
            raise fleet.FleetError(f"{node.name} ended with {code}\n{node.log_tail()}")
    say("nodes             stopped in good order")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", required=True, help="where the programs were built")
    flags = parser.parse_args()
    with fleet.Fleet(flags.build_dir) as processes:
        engines, tool, nodes = start_fleet(processes)
        configure(nodes, engines, tool)
        results, seconds = run_program(nodes)
        stop_fleet(nodes)
    prompt = sum(result["usage"]["prompt_tokens"] for result in results)
    generated = sum(result["usage"]["generated_tokens"] for result in results)
    say(f"summary: {len(results)} calls, {prompt} prompt tokens, {generated} generated tokens, "
        f"program latency {seconds:.3f} s")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except fleet.FleetError as error:
        print(f"failed: {error}", file=sys.stderr)
        sys.exit(1)
