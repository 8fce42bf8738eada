import { fromBinary } from "@bufbuild/protobuf";
import test from "ava";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import { StrikeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import { CrashMonitor } from "./crash_monitor.ts";
import { AttemptResult } from "./observed_attempt.ts";
import { RequestIdentity } from "./request_identity.ts";
import { PENDING_KEY_PREFIX, StrikeReplicator } from "./strike_replicator.ts";

const TOPIC = "strikes";
const IDENTITY = new RequestIdentity({
  method: "POST",
  host: "h",
  target: "/x",
  body: Buffer.from("bad"),
  affinityKey: "c",
});

class Setup {
  readonly log = new PartitionedLogCore();
  now = 0;

  advance(ms: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
        this.now += 50;
        yield* TestClock.adjust(50);
      }
    });
  }

  /** Starts an instance's monitor and replicator. */
  start() {
    return Effect.gen({ self: this }, function* () {
      const logger = new NullLogger();
      const now = () => this.now;
      const monitor = new CrashMonitor({ logger, metrics: new Metrics(), now });
      const replicator = new StrikeReplicator({
        log: this.log,
        topic: TOPIC,
        monitor,
        logger,
        now,
        random: () => 0.5,
      });
      yield* replicator.start();
      return { monitor, replicator };
    });
  }

  /** Returns the stored strikes that count. */
  strikes() {
    return Effect.map(
      this.log.readLatestValues(TOPIC),
      ({ items }) =>
        items.filter(({ key }) => !key.startsWith(PENDING_KEY_PREFIX))
          .map(({ value }) => fromBinary(StrikeSchema, value)),
    );
  }

  keys() {
    return Effect.map(this.log.readLatestValues(TOPIC), ({ items }) => items.map(({ key }) => key));
  }
}

function backendOf(id: string): IBackendEntry {
  const address = { host: "h", port: 1, zone: "z" };
  return { id, startedAtMs: 1, service: "s", ...address, slots: 4, isDraining: false };
}

function attempt(
  monitor: CrashMonitor,
  backendId: string,
  result = AttemptResult.ConnectionLost,
  identity = IDENTITY,
): void {
  const observed = monitor.observe(identity, { requestId: "r", backend: backendOf(backendId) });
  observed.result = result;
  monitor.finish(observed);
}

function run(body: (setup: Setup) => Effect.Effect<void, unknown, never>): Promise<void> {
  return Effect.runPromise(
    Effect.provide(Effect.scoped(body(new Setup())), TestClock.layer()) as Effect.Effect<void>,
  );
}

test("strikes outlive the instances that recorded them", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      const first = yield* Effect.scoped(Effect.gen(function* () {
        const { monitor } = yield* setup.start();
        for (const server of ["s1", "s2", "s3"]) attempt(monitor, server);
        yield* setup.advance(1500);
        return monitor;
      }));
      t.true(first.isQuarantined(IDENTITY));
      yield* Effect.scoped(Effect.gen(function* () {
        const { monitor } = yield* setup.start();
        yield* setup.advance(1000);
        t.true(monitor.isQuarantined(IDENTITY));
      }));
    })
  ));

test("a request that completes when it is retried leaves no record", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      attempt(monitor, "s1");
      yield* setup.advance(500);
      attempt(monitor, "s2", AttemptResult.Succeeded);
      yield* setup.advance(5000);
      t.is(setup.log.appends, 0);
    }))
  ));

test("a request that completes is cleared on the other instances and in the store", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const [a, b] = [yield* setup.start(), yield* setup.start()];
      attempt(a.monitor, "s1");
      yield* setup.advance(2500);
      t.true(b.monitor.isSuspect(IDENTITY));
      attempt(b.monitor, "s2", AttemptResult.Succeeded);
      yield* setup.advance(2500);
      t.false(a.monitor.isSuspect(IDENTITY));
      t.deepEqual(yield* setup.keys(), []);
    }))
  ));

/** Request of its own that shares a prompt part with others. */
function sharing(part: string, own: string): RequestIdentity {
  const promptPartIds = [part, `own-${own}`];
  const content = { method: "POST", host: "h", target: `/${own}`, body: Buffer.from(own), affinityKey: "" };
  return new RequestIdentity({ ...content, promptPartIds });
}

/** Has a strike written, and another request that shares a part with it completed by the instances at these times. */
function storedParts(
  setup: Setup,
  { completedBy }: { completedBy: "the same instance" | "another instance" },
) {
  return Effect.gen(function* () {
    const [a, b] = [yield* setup.start(), yield* setup.start()];
    attempt(a.monitor, "s1", AttemptResult.ConnectionLost, sharing("p", "1"));
    yield* setup.advance(2500);
    const before = yield* Effect.orDie(setup.strikes());
    const { monitor } = completedBy === "the same instance" ? a : b;
    attempt(monitor, "s2", AttemptResult.Succeeded, sharing("p", "2"));
    yield* setup.advance(8000);
    const after = yield* Effect.orDie(setup.strikes());
    const countParts = (strikes: readonly { readonly keys: readonly unknown[] }[]) =>
      strikes.map(({ keys }) => keys.length);
    return { before: countParts(before), after: countParts(after), monitor };
  });
}

for (const completedBy of ["the same instance", "another instance"] as const) {
  test(`parts that ${completedBy} has seen complete do not stay in the stored strike`, (t) =>
    run((setup) =>
      Effect.scoped(Effect.gen(function* () {
        const { before, after } = yield* storedParts(setup, { completedBy });
        t.is(before.length, 1);
        t.deepEqual(after, before.map((count) => count - 1));
      }))
    ));
}

test("a strike is written without the parts that have been acquitted before it is written", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      attempt(monitor, "s1", AttemptResult.ConnectionLost, sharing("p", "1"));
      yield* setup.advance(200);
      attempt(monitor, "s2", AttemptResult.Succeeded, sharing("p", "2"));
      yield* setup.advance(1500);
      const [{ keys }] = yield* setup.strikes();
      t.is(keys.length, sharing("p", "1").sharedKeys.length - 1);
      t.is(setup.log.appends, 1);
    }))
  ));

test("a pending strike does not outlive the strike that it became", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      attempt(monitor, "s1");
      const observed = monitor.observe(IDENTITY, { requestId: "r2", backend: backendOf("s2") });
      yield* setup.advance(2500);
      t.deepEqual((yield* setup.keys()).filter((key) => key.startsWith(PENDING_KEY_PREFIX)).length, 1);
      observed.result = AttemptResult.ConnectionLost;
      monitor.finish(observed);
      yield* setup.advance(2500);
      t.deepEqual((yield* setup.keys()).filter((key) => key.startsWith(PENDING_KEY_PREFIX)), []);
    }))
  ));

test("strikes recorded during an outage are written after it, also if responses are lost", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor, replicator } = yield* setup.start();
      for (const fault of [LogFault.Refuse, LogFault.LoseAnswers]) {
        setup.log.fault = fault;
        attempt(monitor, fault);
        yield* setup.advance(3000);
        t.true(replicator.pendingCount > 0, fault);
      }
      setup.log.fault = LogFault.None;
      yield* setup.advance(2000);
      t.is(replicator.pendingCount, 0);
      t.is((yield* setup.keys()).length, 2);
    }))
  ));

test("a late write of a withdrawn strike does not restore it", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      setup.log.fault = LogFault.Delay;
      attempt(monitor, "s1");
      yield* setup.advance(1500);
      setup.log.fault = LogFault.None;
      attempt(monitor, "s2", AttemptResult.Succeeded);
      yield* setup.advance(2000);
      setup.log.applyDelayedAppends();
      yield* setup.advance(2000);
      t.false(monitor.isSuspect(IDENTITY));
      t.deepEqual(yield* setup.keys(), []);
    }))
  ));

test("records that cannot be decoded are skipped", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      setup.log.putKey(TOPIC, "foreign", Buffer.from("\xff\xff\xff", "latin1"));
      attempt(monitor, "s1");
      yield* setup.advance(2500);
      t.true(monitor.isSuspect(IDENTITY));
    }))
  ));

test("expired strikes are deleted from the store", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      attempt(monitor, "s1");
      yield* setup.advance(2000);
      t.is((yield* setup.keys()).length, 1);
      setup.now += 31 * 60_000;
      yield* setup.advance(65_000);
      t.deepEqual(yield* setup.keys(), []);
    }))
  ));

// Guards against a request that fails because what it acquits cannot be compared with the stored strike.
test("an unreadable record in place of a strike does not concern the requests that complete", (t) =>
  run((setup) =>
    Effect.scoped(Effect.gen(function* () {
      const { monitor } = yield* setup.start();
      attempt(monitor, "s1", AttemptResult.ConnectionLost, sharing("p", "1"));
      yield* setup.advance(2500);
      const [key] = yield* setup.keys();
      setup.log.putKey(TOPIC, key, Buffer.from([0xff, 0xff]));
      yield* setup.advance(2500);
      t.notThrows(() => attempt(monitor, "s2", AttemptResult.Succeeded, sharing("p", "2")));
    }))
  ));

test("records of other writers do not keep strikes from being written", async (t) => {
  const setup = new Setup();
  // What remains of a key that is not UTF-8 can be longer than any key.
  const keys = ["", "x", "pending/", "pending/x", `pending/${"\ufffd".repeat(100)}`, "\ufffd".repeat(100)];
  for (const key of keys) {
    setup.log.putKey(TOPIC, key, Buffer.from([0xff, 0xff]));
    setup.log.putKey(TOPIC, `${key}2`, Buffer.from("[".repeat(10_000)));
  }
  const run = Effect.gen(function* () {
    const { monitor, replicator } = yield* setup.start();
    yield* setup.advance(200_000);
    attempt(monitor, "b1");
    yield* setup.advance(3000);
    t.is(replicator.pendingCount, 0);
    const stored = yield* Effect.orDie(setup.keys());
    t.is(stored.filter((key) => key.includes("b1")).length, 1);
  });
  await Effect.runPromise(Effect.provide(Effect.scoped(run), TestClock.layer()));
});
