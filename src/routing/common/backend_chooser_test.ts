import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IBackendDemand } from "./backend_chooser.ts";
import { EngineChooser, ServiceChooser } from "./backend_chooser.ts";
import { BackendLoads } from "./backend_loads.ts";
import { CrowdingAdmission } from "./program_admission.ts";
import { PromptCacheMap } from "./prompt_cache_map.ts";

const ENGINE = { slots: 4, kvTokens: 100_000, tokensPerEvent: 22 };
const PARTS = [{ id: "shared", tokens: 12_000 }, { id: "own", tokens: 800 }];

function backendsOf(ids: readonly string[]): IBackendEntry[] {
  const rest = { service: "s", host: "h", port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 0 };
  return ids.map((id) => ({ id, ...rest }));
}

function demandOf(more: Partial<IBackendDemand> = {}): IBackendDemand {
  const excluded = new Set<string>();
  return {
    zone: "z",
    affinity: "line",
    parts: PARTS,
    promptTokens: 12_800,
    maxTokens: 500,
    excluded,
    ...more,
  };
}

function setUp(ids: readonly string[] = ["a", "b", "c"]) {
  const clock = { now: 0 };
  const loads = new BackendLoads(() => clock.now);
  const caches = new PromptCacheMap();
  const engines = new EngineChooser(ENGINE, { loads, caches });
  return { clock, loads, caches, engines, services: new ServiceChooser(loads), backends: backendsOf(ids) };
}

test("a line stays with the engine that holds its prompt", (t) => {
  const { engines, caches, backends } = setUp();
  caches.use("b", { parts: PARTS, capacity: ENGINE.kvTokens });
  t.is(engines.choose(demandOf(), backends)?.backend.id, "b");
});

test("a line stays although others run less: reading its history anew would hold up their requests", (t) => {
  const { caches, loads, backends } = setUp();
  const engines = new EngineChooser({ ...ENGINE, slots: 16 }, { loads, caches });
  const history = [{ id: "shared", tokens: 12_000 }, { id: "line", tokens: 8000 }];
  for (const { id } of backends) caches.use(id, { parts: history.slice(0, 1), capacity: ENGINE.kvTokens });
  caches.use("b", { parts: history, capacity: ENGINE.kvTokens });
  for (const { id } of backends) for (let i = 0; i < (id === "b" ? 5 : 3); i++) loads.noteStart(id);
  const demand = demandOf({ parts: history, promptTokens: 20_000 });
  t.is(engines.choose(demand, backends)?.backend.id, "b");
});

test("an instance that learns late who has read a beginning does not crowd one engine", (t) => {
  const { engines, caches, loads, backends } = setUp();
  const beginning = PARTS.slice(0, 1);
  caches.use("a", { parts: PARTS, capacity: ENGINE.kvTokens });
  for (const backendId of ["b", "c"]) caches.hear({ backendId, partId: beginning[0].id, tokens: 12_000 });
  for (let i = 0; i < 6; i++) {
    const parts = [...beginning, { id: `line-${i}`, tokens: 800 }];
    loads.noteStart(engines.choose(demandOf({ parts }), backends)!.backend.id);
  }
  t.deepEqual(backends.map(({ id }) => loads.running(id)), [2, 2, 2]);
});

test("what others read is not told on as one's own", (t) => {
  const { caches } = setUp();
  caches.hear({ backendId: "b", partId: "shared", tokens: 12_000 });
  caches.use("a", { parts: PARTS, capacity: ENGINE.kvTokens });
  t.deepEqual(caches.takePrefixes(), [{ backendId: "a", partId: "shared", tokens: 12_000 }]);
  t.deepEqual(caches.takePrefixes(), []);
});

test("a crowded engine is left even if it holds the prompt", (t) => {
  const { engines, caches, loads, backends } = setUp();
  caches.use("b", { parts: PARTS, capacity: ENGINE.kvTokens });
  for (let i = 0; i < 8; i++) loads.noteStart("b");
  t.not(engines.choose(demandOf(), backends)?.backend.id, "b");
});

test("a burst is spread evenly over the engines", (t) => {
  const { engines, loads, backends } = setUp();
  for (let i = 0; i < 30; i++) {
    const choice = engines.choose(demandOf({ affinity: `line-${i}` }), backends)!;
    loads.noteStart(choice.backend.id);
  }
  const counts = backends.map(({ id }) => loads.running(id));
  t.true(Math.max(...counts) - Math.min(...counts) <= 2, String(counts));
});

test("other instances' load counts until their reports are old", (t) => {
  const { engines, loads, backends, clock } = setUp(["a", "b"]);
  loads.noteReport({ instance: "i", running: new Map([["a", 4]]) });
  t.is(engines.choose(demandOf(), backends)?.backend.id, "b");
  clock.now = 5000;
  t.is(loads.running("a"), 0);
});

test("a slow engine gets less", (t) => {
  const { engines, loads, backends } = setUp();
  for (const [id, pace] of [["a", 30], ["b", 150], ["c", 30]] as const) loads.notePace(id, pace);
  const chosen = new Set(
    Array.from(
      { length: 20 },
      (_, i) => engines.choose(demandOf({ affinity: `${i}` }), backends)!.backend.id,
    ),
  );
  t.false(chosen.has("b"));
});

test("a failing server is passed over while others are well, and used when none is", (t) => {
  const { services, loads, backends } = setUp(["a", "b"]);
  loads.noteFailure("a");
  t.is(services.choose(demandOf({ affinity: "" }), backends)?.backend.id, "b");
  t.is(services.choose(demandOf({ affinity: "", excluded: new Set(["b"]) }), backends)?.backend.id, "a");
  t.is(services.choose(demandOf({ excluded: new Set(["a", "b"]) }), backends), undefined);
});

test("an object stays with its usual server while that has room", (t) => {
  const { services, loads, backends } = setUp();
  const usual = services.choose(demandOf({ affinity: "17" }), backends)!.backend.id;
  loads.noteStart(usual);
  t.is(services.choose(demandOf({ affinity: "17" }), backends)!.backend.id, usual);
  for (let i = 0; i < 3; i++) loads.noteStart(usual);
  t.not(services.choose(demandOf({ affinity: "17" }), backends)!.backend.id, usual);
});

/**
 * Replays a burst: programs arrive at a multiple of what the engines can bear, each with four turns
 * whose pace falls with the crowding. Returns the share that ends within 1.6 times its idle time.
 */
function replayBurst(isAdmitting: boolean): number {
  const admission = new CrowdingAdmission();
  const slots = 40;
  let running: { work: number; ageMs: number }[] = [];
  let arrived = 0;
  let onTime = 0;
  const idleMs = 2000;
  for (let now = 0; now < 20_000; now += 10) {
    // From 3 s to 7 s programs arrive at twice the calm rate.
    const perTick = now >= 3000 && now < 7000 ? 0.2 : 0.08;
    if (Math.floor(arrived + perTick) > Math.floor(arrived)) {
      const crowding = [running.length / slots];
      if (!isAdmitting || admission.decide({ crowding, priority: 0, random: 0.5 }).isAdmitted) {
        running.push({ work: idleMs, ageMs: 0 });
      }
    }
    arrived += perTick;
    const share = Math.min(1, slots / Math.max(1, running.length));
    const pace = share / (1 + Math.min(running.length, slots) / slots * 0.8);
    running = running.map(({ work, ageMs }) => ({ work: work - 10 * pace, ageMs: ageMs + 10 }));
    onTime += running.filter(({ work, ageMs }) => work <= 0 && ageMs <= idleMs * 1.6).length;
    running = running.filter(({ work }) => work > 0);
  }
  return onTime / arrived;
}

test("in a burst more programs end on time if some are refused at their first turn", (t) => {
  const [without, admitted] = [replayBurst(false), replayBurst(true)];
  t.true(admitted > without, `${without} ${admitted}`);
});

test("the less important kind is refused first, never the other way round", (t) => {
  const admission = new CrowdingAdmission();
  const levels = Array.from({ length: 40 }, (_, level) => level / 20);
  const admits = (priority: number, share: number) =>
    admission.decide({ crowding: [share], priority, random: 0 }).isAdmitted;
  t.true(levels.some((share) => admits(0, share) && !admits(1, share)));
  t.false(levels.some((share) => !admits(0, share) && admits(1, share)));
  t.true(admits(0, 0.3) && admits(1, 0.3));
  t.false(admits(0, 1) || admits(1, 1));
});
