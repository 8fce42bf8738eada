import test from "ava";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import { CrashMonitor } from "./crash_monitor.ts";
import { RequestIdentity } from "./request_identity.ts";
import { ServerEndDetector } from "./server_end_detector.ts";
import { PROBE_TIMEOUT_MS } from "./server_link_monitor.ts";

const STEP_MS = 10;

function entryOf(id: string, zone: string): IBackendEntry {
  return { id, service: "s", host: id, port: 1, zone, slots: 4, isDraining: false, startedAtMs: 1 };
}

/** An instance that has sent a request to the server "a1" and waits for the response. */
class Scenario {
  nowMs = 0;
  isListRead = false;
  /** Ids of the servers that accept connections; those of zone a and one of zone b. */
  readonly listening = new Set(["a2", "a3", "b1"]);
  /** Time after which a connection that is not accepted is given up. */
  probeMs = PROBE_TIMEOUT_MS;
  probes = 0;
  readonly crashes: CrashMonitor;
  readonly detector: ServerEndDetector;

  constructor() {
    const logger = new NullLogger();
    const now = () => this.nowMs;
    const directory = new BackendDirectory(logger, { now, leaving: new LeavingServers(logger, now) });
    for (const id of ["a1", ...this.listening]) directory.put(entryOf(id, id[0]));
    this.crashes = new CrashMonitor({ logger, metrics: new Metrics(), now });
    const connect = ({ id }: IBackendEntry) =>
      Effect.suspend(() => {
        this.probes += 1;
        return this.listening.has(id) ? Effect.succeed(true) : Effect.as(Effect.sleep(this.probeMs), false);
      });
    this.detector = new ServerEndDetector({
      crashes: this.crashes,
      directory,
      probe: { connect },
      isListRead: () => this.isListRead,
      awaitListLoss: Effect.void,
      logger,
      random: () => 0,
    });
  }

  send(): void {
    const identity = new RequestIdentity({
      method: "GET",
      host: "h",
      target: `/${this.nowMs}`,
      body: Buffer.from(""),
      affinityKey: "",
    });
    this.crashes.observe(identity, { requestId: "r", backend: entryOf("a1", "a") });
  }

  advance(ms: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
        this.nowMs += STEP_MS;
        yield* TestClock.adjust(STEP_MS);
      }
    });
  }

  run(body: Effect.Effect<void>): Promise<void> {
    const work = Effect.andThen(this.detector.start(), body);
    return Effect.runPromise(Effect.provide(Effect.scoped(work), TestClock.layer()));
  }
}

/** Returns the number of strikes some seconds after a request was sent to a server that accepts no connections. */
async function strikesOf(arrange: (scenario: Scenario) => void): Promise<number> {
  const scenario = new Scenario();
  arrange(scenario);
  scenario.send();
  await scenario.run(scenario.advance(5000));
  return scenario.crashes.strikeCount;
}

test("a server that accepts no connections while another one of its zone does has ended", async (t) => {
  t.is(await strikesOf(() => {}), 1);
});

test("nothing is concluded while no other server of the zone accepts connections", async (t) => {
  t.is(await strikesOf(({ listening }) => listening.clear()), 0);
  t.is(await strikesOf(({ listening }) => ["a2", "a3"].forEach((id) => listening.delete(id))), 0);
});

test("nothing is concluded from a try that took too long because the instance stood still", async (t) => {
  t.is(await strikesOf((scenario) => scenario.probeMs = 700), 0);
});

test("no connections are tried while the list is read or the server responds in time", async (t) => {
  t.is(await strikesOf((scenario) => scenario.isListRead = true), 0);
  const idle = new Scenario();
  await idle.run(idle.advance(5000));
  t.is(idle.probes, 0);
});

test("requests that were sent before a server last accepted a connection are not struck when it ends", async (t) => {
  const scenario = new Scenario();
  scenario.listening.add("a1");
  const body = Effect.gen(function* () {
    scenario.send();
    yield* scenario.advance(3000);
    t.true(scenario.probes > 0);
    scenario.listening.delete("a1");
    yield* scenario.advance(100);
    scenario.send();
    yield* scenario.advance(5000);
    t.is(scenario.crashes.strikeCount, 1);
  });
  await scenario.run(body);
});
