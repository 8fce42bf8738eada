import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { PROBE_TIMEOUT_MS, ServerLinkMonitor } from "./server_link_monitor.ts";

const STEP_MS = 10;

function entryOf(id: string, service: string): IBackendEntry {
  return { id, service, host: id, port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 1 };
}

class Scenario {
  /** Ids of the servers that accept connections. */
  readonly listening = new Set(["a1", "a2", "a3", "b1", "b2", "b3"]);
  /** Time after which a connection that is not accepted is given up. */
  probeMs = PROBE_TIMEOUT_MS;
  failsUnexpectedly = false;
  readonly probed: string[] = [];
  readonly changes: boolean[] = [];
  readonly monitor: ServerLinkMonitor;

  constructor() {
    const logger = new NullLogger();
    const now = () => 0;
    const directory = new BackendDirectory(logger, { now, leaving: new LeavingServers(logger, now) });
    for (const id of this.listening) directory.put(entryOf(id, id[0]));
    const probe = {
      connect: ({ id }: IBackendEntry) =>
        Effect.suspend(() => {
          this.probed.push(id);
          if (this.failsUnexpectedly) throw new RangeError("port");
          return this.listening.has(id) ? Effect.succeed(true) : Effect.as(Effect.sleep(this.probeMs), false);
        }),
    };
    let seed = 1;
    const random = () => (seed = seed * 48271 % 2147483647) / 2147483647;
    this.monitor = new ServerLinkMonitor({ directory, probe, logger, random });
    this.monitor.onDidChange((isCutOff) => this.changes.push(isCutOff));
  }

  advance(ms: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) yield* TestClock.adjust(STEP_MS);
    });
  }

  run(body: (scenario: Scenario) => Effect.Effect<void>): Promise<void> {
    const work = Effect.andThen(this.monitor.start(), body(this));
    return Effect.runPromise(Effect.provide(Effect.scoped(work), TestClock.layer()));
  }
}

/** A request that gets no response. */
function hang(scenario: Scenario): Effect.Effect<Fiber.Fiber<never>> {
  return Effect.forkDetach(scenario.monitor.observe(Effect.never));
}

test("links are lost if no server accepts a connection while a request waits, and regained", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      yield* hang(scenario);
      scenario.listening.clear();
      yield* scenario.advance(1000);
      t.deepEqual(scenario.changes, [true]);
      scenario.listening.add("a1").add("a2").add("a3");
      yield* scenario.advance(1200);
      t.deepEqual(scenario.changes, [true, false]);
    })
  );
});

test("a second of silence of a server is no reason", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      yield* hang(scenario);
      for (let index = 0; index < 20; index++) {
        yield* scenario.monitor.observe(Effect.succeed("response"));
        yield* scenario.advance(100);
      }
    })
  );
  t.deepEqual([scenario.changes, scenario.probed], [[], []]);
});

test("while all servers are silent but accept connections the links are not lost", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      yield* hang(scenario);
      yield* scenario.advance(3000);
    })
  );
  t.deepEqual(scenario.changes, []);
  t.true(scenario.probed.length <= 3, `${scenario.probed.length} connections in 3 s`);
});

test("servers of one service that are lost do not cut the instance off", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      for (const id of ["a1", "a2", "a3"]) scenario.listening.delete(id);
      for (let index = 0; index < 10; index++) {
        yield* Effect.forkDetach(scenario.monitor.checkAfterConnectFailure());
        yield* scenario.advance(800);
      }
    })
  );
  t.deepEqual(scenario.changes, []);
  t.true(scenario.probed.length >= 10);
});

test("connections of one server that are lost are no reason, those of two are", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      const check = (id: string) =>
        Effect.forkDetach(scenario.monitor.checkAfterConnectionLoss(entryOf(id, "a")));
      yield* scenario.advance(1000);
      scenario.listening.clear();
      for (let index = 0; index < 3; index++) yield* check("a1");
      yield* scenario.advance(500);
      t.deepEqual(scenario.probed, []);
      yield* check("a1");
      yield* check("a2");
      yield* scenario.advance(1000);
      t.deepEqual(scenario.changes, [true]);
    })
  );
});

test("a check during which the instance stood still proves nothing", async (t) => {
  const scenario = new Scenario();
  await scenario.run(() =>
    Effect.gen(function* () {
      yield* hang(scenario);
      scenario.listening.clear();
      scenario.probeMs = 2000;
      yield* scenario.advance(5000);
      t.true(scenario.probed.length > 0);
      t.deepEqual(scenario.changes, []);
    })
  );
});

test("nothing is checked while no request waits", async (t) => {
  const scenario = new Scenario();
  scenario.listening.clear();
  await scenario.run(() => scenario.advance(5000));
  t.deepEqual(scenario.probed, []);
});

test("a check that fails unexpectedly does not end the monitoring", async (t) => {
  const scenario = new Scenario();
  scenario.failsUnexpectedly = true;
  await scenario.run((scenario) =>
    Effect.gen(function* () {
      yield* hang(scenario);
      yield* scenario.advance(3000);
      t.deepEqual(scenario.changes, []);
      scenario.failsUnexpectedly = false;
      scenario.listening.clear();
      yield* scenario.advance(5000);
      t.deepEqual(scenario.changes, [true]);
    })
  );
});
