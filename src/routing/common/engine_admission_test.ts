import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { TEST_CONFIGURATION } from "../../../test/harness/configuration.ts";
import { DEFAULT_ENGINE, EngineCore } from "../../../test/stand_ins/engine_core.ts";
import { Signal } from "../../base/common/signal.ts";
import { parseConfiguration } from "../../services/settings/common/validation.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { IAdmissionRequest } from "./engine_admission.ts";
import { EngineAdmission } from "./engine_admission.ts";
import { ExpectedFinishChooser } from "./engine_chooser.ts";
import { EngineState } from "./engine_state.ts";
import type { IEngineLoadReport } from "./model_engine.ts";
import { ClassDeadlinePolicy } from "./call_priority.ts";

const preset = () => parseConfiguration(JSON.stringify(TEST_CONFIGURATION), "test").presets.ordinary;

function makeEngine(id: string, report: Partial<IEngineLoadReport> = {}): EngineState {
  const client = new EngineCore({ ...DEFAULT_ENGINE, id, models: ["m"] });
  const engine = new EngineState({ id, zone: "", address: id, client });
  engine.applyLoadReport({ ...Effect.runSync(client.getLoadReport()), ...report }, 0);
  return engine;
}

function makeRequest(opts: Partial<IAdmissionRequest> = {}): IAdmissionRequest {
  return {
    programId: "p",
    model: "m",
    customer: "c",
    promptTokens: 1000,
    expectedAnswerTokens: 10,
    isFirstCall: false,
    excluded: new Set(),
    class: 1,
    deadlineMs: 0,
    openedAtMs: 0,
    weight: 1,
    queuedAtMs: 0,
    ...opts,
  };
}

function setUp(engines: EngineState[]): { admission: EngineAdmission; changed: Signal } {
  const changed = new Signal();
  const registry = { engines, changed } as unknown as BackendRegistry;
  const chooser = new ExpectedFinishChooser(preset);
  return {
    admission: new EngineAdmission({
      registry,
      chooser,
      priorityPolicy: new ClassDeadlinePolicy(preset),
      preset,
    }),
    changed,
  };
}

/** Runs a test under virtual time. Its argument `admitQueued` triggers the admission of queued calls. */
function runTest(
  engines: EngineState[],
  body: (admission: EngineAdmission, admitQueued: Effect.Effect<void>) => Effect.Effect<void, unknown>,
) {
  const { admission, changed } = setUp(engines);
  const admitQueued = Effect.gen(function* () {
    yield* Effect.yieldNow;
    changed.notify();
    yield* Effect.yieldNow;
    yield* Effect.yieldNow;
  });
  const work = Effect.gen(function* () {
    yield* admission.start();
    yield* Effect.yieldNow;
    yield* body(admission, admitQueued);
  });
  return Effect.runPromise(Effect.provide(Effect.scoped(work), TestClock.layer()) as Effect.Effect<void>);
}

test("a new program waits for memory while calls of a running program are admitted", async (t) => {
  const engine = makeEngine("e", { kvUsedTokens: 50_000 });
  await runTest([engine], (admission, admitQueued) =>
    Effect.gen(function* () {
      const queued = yield* Effect.forkChild(
        admission.acquire(makeRequest({ programId: "new", isFirstCall: true })),
      );
      yield* admitQueued;
      t.is(admission.queueLength, 1);
      t.is((yield* admission.acquire(makeRequest({ class: 0 }))).engine, engine);
      engine.applyLoadReport({ ...engine.loadReport!, kvUsedTokens: 0 }, 0);
      yield* admitQueued;
      t.is((yield* Fiber.join(queued)).engine, engine);
    }));
});

test("new programs queued beyond the ageing time start without free memory, one at a time", async (t) => {
  const engine = makeEngine("e", { kvUsedTokens: 60_000 });
  await runTest([engine], (admission, admitQueued) =>
    Effect.gen(function* () {
      yield* TestClock.adjust(1);
      const requests = [1, 2].map((openedAtMs) =>
        makeRequest({ programId: `p${openedAtMs}`, isFirstCall: true, openedAtMs })
      );
      const [first] = yield* Effect.all(requests.map((req) => Effect.forkChild(admission.acquire(req))));
      yield* admitQueued;
      yield* TestClock.adjust(preset().ageingMs + 1);
      yield* admitQueued;
      yield* Fiber.join(first);
      t.is(admission.queueLength, 1);
    }));
});

test("a call whose expected wait is too long is refused immediately with a retry delay", async (t) => {
  const engine = makeEngine("e", { running: 8, queued: 2000 });
  await runTest([engine], (admission) =>
    Effect.gen(function* () {
      const err = yield* Effect.flip(admission.acquire(makeRequest()));
      t.true(err.retryAfterMs > 0);
      t.is(admission.queueLength, 0);
    }));
});

test("an interrupted call is removed from the queue", async (t) => {
  const engine = makeEngine("e", { running: 8, queued: 10 });
  await runTest([engine], (admission, admitQueued) =>
    Effect.gen(function* () {
      const queued = yield* Effect.forkChild(admission.acquire(makeRequest()));
      yield* admitQueued;
      t.is(admission.queueLength, 1);
      yield* Fiber.interrupt(queued);
      t.is(admission.queueLength, 0);
    }));
});
