import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IBackendChoiceInput } from "./backend_chooser.ts";
import { EngineBackendChooser, ServiceBackendChooser, SuspectBackendChooser } from "./backend_chooser.ts";
import { SeededRandom } from "../../../test/demo/random.ts";
import { BackendLoadTracker } from "./backend_load_tracker.ts";
import { UtilizationAdmission } from "./program_admission.ts";
import { PromptCacheIndex } from "./prompt_cache_index.ts";

const ENGINE = { slots: 4, kvTokens: 100_000, tokensPerEvent: 22 };
const PARTS = [{ id: "shared", tokens: 12_000 }, { id: "own", tokens: 800 }];

function backendsOf(ids: readonly string[]): IBackendEntry[] {
  const rest = { service: "s", host: "h", port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 0 };
  return ids.map((id) => ({ id, ...rest }));
}

function makeInput(more: Partial<IBackendChoiceInput> = {}): IBackendChoiceInput {
  const excluded = new Set<string>();
  return {
    zone: "z",
    affinity: "line",
    parts: PARTS,
    promptTokens: 12_800,
    maxTokens: 500,
    excluded,
    isRepeatable: true,
    ...more,
  };
}

function setUp(ids: readonly string[] = ["a", "b", "c"]) {
  const clock = { now: 0 };
  const loads = new BackendLoadTracker(() => clock.now);
  const caches = new PromptCacheIndex();
  const engines = new EngineBackendChooser(ENGINE, { loads, caches, random: () => 0.5 });
  return {
    clock,
    loads,
    caches,
    engines,
    services: new ServiceBackendChooser(loads, "i"),
    backends: backendsOf(ids),
  };
}

test("a session stays on the engine that has its prompt cached", (t) => {
  const { engines, caches, backends } = setUp();
  caches.recordPrompt("b", { parts: PARTS, capacity: ENGINE.kvTokens });
  t.is(engines.choose(makeInput(), backends)?.backend.id, "b");
});

test("a session stays on a busier engine, as prefill elsewhere would delay other requests", (t) => {
  const { caches, loads, backends } = setUp();
  const engines = new EngineBackendChooser({ ...ENGINE, slots: 16 }, { loads, caches, random: () => 0.5 });
  const history = [{ id: "shared", tokens: 12_000 }, { id: "line", tokens: 8000 }];
  for (const { id } of backends) {
    caches.recordPrompt(id, { parts: history.slice(0, 1), capacity: ENGINE.kvTokens });
  }
  caches.recordPrompt("b", { parts: history, capacity: ENGINE.kvTokens });
  for (const { id } of backends) for (let i = 0; i < (id === "b" ? 5 : 3); i++) loads.recordRequestStart(id);
  const input = makeInput({ parts: history, promptTokens: 20_000 });
  t.is(engines.choose(input, backends)?.backend.id, "b");
});

test("cached prefixes reported by other instances keep requests from concentrating on one engine", (t) => {
  const { engines, caches, loads, backends } = setUp();
  const prefix = PARTS.slice(0, 1);
  caches.recordPrompt("a", { parts: PARTS, capacity: ENGINE.kvTokens });
  for (const backendId of ["b", "c"]) {
    caches.recordReportedPart({ backendId, partId: prefix[0].id, tokens: 12_000 });
  }
  for (let i = 0; i < 6; i++) {
    const parts = [...prefix, { id: `line-${i}`, tokens: 800 }];
    loads.recordRequestStart(engines.choose(makeInput({ parts }), backends)!.backend.id);
  }
  t.deepEqual(backends.map(({ id }) => loads.running(id)), [2, 2, 2]);
});

test("prefixes reported by other instances are not reported again", (t) => {
  const { caches } = setUp();
  caches.recordReportedPart({ backendId: "b", partId: "shared", tokens: 12_000 });
  caches.recordPrompt("a", { parts: PARTS, capacity: ENGINE.kvTokens });
  t.deepEqual(caches.takeUnreportedPrefixes(), [{ backendId: "a", partId: "shared", tokens: 12_000 }]);
  t.deepEqual(caches.takeUnreportedPrefixes(), []);
});

test("an overloaded engine is avoided even if it has the prompt cached", (t) => {
  const { engines, caches, loads, backends } = setUp();
  caches.recordPrompt("b", { parts: PARTS, capacity: ENGINE.kvTokens });
  for (let i = 0; i < 8; i++) loads.recordRequestStart("b");
  t.not(engines.choose(makeInput(), backends)?.backend.id, "b");
});

test("a burst of requests is spread evenly over the engines", (t) => {
  const { engines, loads, backends } = setUp();
  for (let i = 0; i < 30; i++) {
    const choice = engines.choose(makeInput({ affinity: `line-${i}` }), backends)!;
    loads.recordRequestStart(choice.backend.id);
  }
  const counts = backends.map(({ id }) => loads.running(id));
  t.true(Math.max(...counts) - Math.min(...counts) <= 2, String(counts));
});

test("load reported by other instances counts until the report expires", (t) => {
  const { engines, loads, backends, clock } = setUp(["a", "b"]);
  loads.recordPeerReport({ instance: "i", running: new Map([["a", 4]]) });
  t.is(engines.choose(makeInput(), backends)?.backend.id, "b");
  clock.now = 5000;
  t.is(loads.running("a"), 0);
});

test("stale loads of many instances do not send all turns to one engine", (t) => {
  const random = new SeededRandom(1);
  const backends = backendsOf(["a", "b", "c", "d", "e", "f", "g", "h"]);
  // All instances act on the same report, in which one engine has the lowest load.
  const running = new Map(backends.map(({ id }) => [id, id === "a" ? 1 : 2]));
  const counts = new Map<string, number>();
  for (let instance = 0; instance < 88; instance++) {
    const loads = new BackendLoadTracker(() => 0);
    loads.recordPeerReport({ instance: "others", running });
    const chooser = new EngineBackendChooser(ENGINE, {
      loads,
      caches: new PromptCacheIndex(),
      random: () => random.nextInt(1000) / 1000,
    });
    const { id } = chooser.choose(makeInput({ affinity: `line-${instance}` }), backends)!.backend;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 88 / 3, [...counts].join(" "));
});

// Guards against reading shared parts again on engines drawn at random, while equally busy ones have them cached.
test("new sessions go to engines that have their shared parts cached while these are no busier", (t) => {
  const { caches, loads, backends } = setUp(Array.from({ length: 10 }, (_, index) => `e${index}`));
  const random = new SeededRandom(1);
  const engines = new EngineBackendChooser(ENGINE, {
    loads,
    caches,
    random: () => random.nextInt(1000) / 1000,
  });
  loads.recordPeerReport({ instance: "i", running: new Map(backends.map(({ id }) => [id, 1])) });
  for (const id of ["e3", "e7"]) {
    caches.recordReportedPart({ backendId: id, partId: "shared", tokens: 12_000 });
  }
  const chosen = Array.from({ length: 50 }, () => engines.choose(makeInput(), backends)!.backend.id);
  t.deepEqual([...new Set(chosen)].sort(), ["e3", "e7"]);
});

test("stale loads of many instances do not send all service calls to one server, nor each instance to all", (t) => {
  const backends = backendsOf(Array.from({ length: 18 }, (_, index) => `s${index}`));
  const running = new Map(backends.map(({ id }) => [id, id === "s0" ? 1 : 2]));
  const counts = new Map<string, number>();
  for (let instance = 0; instance < 195; instance++) {
    const loads = new BackendLoadTracker(() => 0);
    loads.recordPeerReport({ instance: "others", running });
    const chooser = new ServiceBackendChooser(loads, `${instance}`);
    const ids = Array.from(
      { length: 10 },
      () => chooser.choose(makeInput({ affinity: "" }), backends)!.backend.id,
    );
    t.true(new Set(ids).size <= 1);
    for (const id of ids) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 1950 / 6, [...counts].join(" "));
});

test("instances without reports do not all choose the same server for a call", (t) => {
  const backends = backendsOf(["a", "b", "c", "d"]);
  const choices = Array.from({ length: 40 }, (_, instance) => {
    const chooser = new ServiceBackendChooser(new BackendLoadTracker(() => 0), `${instance}`);
    return chooser.choose(makeInput({ affinity: "" }), backends)!.backend.id;
  });
  t.is(new Set(choices).size, 4);
});

test("a slow engine is avoided", (t) => {
  const { engines, loads, backends } = setUp();
  for (const [id, latencyMs] of [["a", 30], ["b", 150], ["c", 30]] as const) {
    loads.recordUnitLatency(id, latencyMs);
  }
  const chosen = new Set(
    Array.from(
      { length: 20 },
      (_, i) => engines.choose(makeInput({ affinity: `${i}` }), backends)!.backend.id,
    ),
  );
  t.false(chosen.has("b"));
});

test("a failing server is avoided while others are healthy, and used if no other is left", (t) => {
  const { services, loads, backends } = setUp(["a", "b"]);
  loads.recordFailure("a");
  t.is(services.choose(makeInput({ affinity: "" }), backends)?.backend.id, "b");
  t.is(services.choose(makeInput({ affinity: "", excluded: new Set(["b"]) }), backends)?.backend.id, "a");
  t.is(services.choose(makeInput({ excluded: new Set(["a", "b"]) }), backends), undefined);
});

test("requests with an affinity key stay on their preferred server while it has capacity", (t) => {
  const { services, loads, backends } = setUp();
  const preferred = services.choose(makeInput({ affinity: "17" }), backends)!.backend.id;
  loads.recordRequestStart(preferred);
  t.is(services.choose(makeInput({ affinity: "17" }), backends)!.backend.id, preferred);
  for (let i = 0; i < 3; i++) loads.recordRequestStart(preferred);
  t.not(services.choose(makeInput({ affinity: "17" }), backends)!.backend.id, preferred);
});

/** Has the first server fail every second request, and returns a function that sends a request and names its server. */
function setUpFailing() {
  const { clock, loads, services, engines, backends } = setUp();
  for (let answer = 0; answer < 40; answer++) {
    for (const backend of backends) {
      loads.failureRates.recordAnswer(backend, { isFailed: backend.id === "a" && answer % 2 === 0 });
    }
  }
  for (const backend of backends) loads.failureRates.recordSend(backend);
  return { clock, loads, services, engines, backends };
}

const AFFINITIES = Array.from({ length: 30 }, (_, index) => `key-${index}`);

test("once-only requests reach a server that fails requests only while the others are full", (t) => {
  const { clock, loads, services, engines, backends } = setUpFailing();
  clock.now = 5000;
  for (const chooser of [services, engines]) {
    const choose = (affinity: string) =>
      chooser.choose(makeInput({ affinity, isRepeatable: false, parts: [] }), backends)!.backend;
    t.false(AFFINITIES.some((affinity) => choose(affinity).id === "a"));
    for (const { id, slots } of backends.slice(1)) {
      for (let i = 0; i < slots; i++) loads.recordRequestStart(id);
    }
    t.true(AFFINITIES.every((affinity) => choose(affinity).id === "a"));
    for (const { id, slots } of backends.slice(1)) {
      for (let i = 0; i < slots; i++) loads.recordRequestEnd(id);
    }
  }
});

test("one repeatable request now and then probes a server that fails requests", (t) => {
  const { clock, loads, services, backends } = setUpFailing();
  let probes = 0;
  for (const affinity of ["", ...AFFINITIES]) {
    clock.now += 200;
    const { backend } = services.choose(makeInput({ affinity }), backends)!;
    loads.failureRates.recordSend(backend);
    if (backend.id === "a") probes += 1;
  }
  t.is(probes, 3);
});

test("a service whose servers all fail alike is used as before", (t) => {
  const { loads, services, backends } = setUp();
  const { services: untouched } = setUp();
  for (let answer = 0; answer < 40; answer++) {
    for (const backend of backends) loads.failureRates.recordAnswer(backend, { isFailed: answer % 2 === 0 });
  }
  for (const isRepeatable of [true, false]) {
    for (const affinity of AFFINITIES) {
      const input = makeInput({ affinity, isRepeatable });
      t.is(services.choose(input, backends)?.backend.id, untouched.choose(input, backends)?.backend.id);
    }
  }
});

/**
 * Simulates a burst: programs of four turns arrive at a multiple of the engines' capacity, and their speed
 * falls with utilization. Returns the share that completes within 1.6 times its duration on idle engines.
 */
function simulateBurst(hasAdmission: boolean): number {
  const admission = new UtilizationAdmission();
  const slots = 40;
  let running: { work: number; ageMs: number }[] = [];
  let arrived = 0;
  let inTime = 0;
  const idleMs = 2000;
  for (let now = 0; now < 20_000; now += 10) {
    // From 3 s to 7 s programs arrive at 2.5 times the normal rate.
    const arrivalsPerTick = now >= 3000 && now < 7000 ? 0.2 : 0.08;
    if (Math.floor(arrived + arrivalsPerTick) > Math.floor(arrived)) {
      const utilizations = [running.length / slots];
      if (
        !hasAdmission ||
        admission.decide({ engineUtilizations: utilizations, priority: 0, random: 0.5 }).isAdmitted
      ) {
        running.push({ work: idleMs, ageMs: 0 });
      }
    }
    arrived += arrivalsPerTick;
    const share = Math.min(1, slots / Math.max(1, running.length));
    const speed = share / (1 + Math.min(running.length, slots) / slots * 0.8);
    running = running.map(({ work, ageMs }) => ({ work: work - 10 * speed, ageMs: ageMs + 10 }));
    inTime += running.filter(({ work, ageMs }) => work <= 0 && ageMs <= idleMs * 1.6).length;
    running = running.filter(({ work }) => work > 0);
  }
  return inTime / arrived;
}

test("during a burst more programs complete in time if some are refused at their first turn", (t) => {
  const [without, withAdmission] = [simulateBurst(false), simulateBurst(true)];
  t.true(withAdmission > without, `${without} ${withAdmission}`);
});

test("programs of lower priority are refused at lower utilization, never at higher", (t) => {
  const admission = new UtilizationAdmission();
  const utilizations = Array.from({ length: 40 }, (_, level) => level / 20);
  const admits = (priority: number, utilization: number) =>
    admission.decide({ engineUtilizations: [utilization], priority, random: 0 }).isAdmitted;
  t.true(utilizations.some((utilization) => admits(0, utilization) && !admits(1, utilization)));
  t.false(utilizations.some((utilization) => !admits(0, utilization) && admits(1, utilization)));
  t.true(admits(0, 0.3) && admits(1, 0.3));
  t.false(admits(0, 1) || admits(1, 1));
});

test("after a crash the requests of the lost server are spread evenly over the others", (t) => {
  const { loads, backends } = setUp(["a", "b", "c", "d", "e", "f", "g", "h"]);
  const choose = (position: number, entries = backends) =>
    new SuspectBackendChooser(loads, { crash: "lost", position }).choose(makeInput(), entries)?.backend.id;
  const choices = Array.from({ length: 16 }, (_, position) => choose(position));
  t.is(new Set(choices).size, 8);
  t.is(new Set(choices.slice(0, 8)).size, 8);
  const otherOrder = [...backends].reverse();
  t.deepEqual(choices, choices.map((_, position) => choose(position, otherOrder)));
});

test("a suspect waits for no slot while another server has a free one", (t) => {
  const { loads, backends } = setUp(["a", "b"]);
  const chooser = new SuspectBackendChooser(loads, { crash: "lost", position: 0 });
  const first = chooser.choose(makeInput(), backends)!.backend;
  for (let i = 0; i < first.slots; i++) loads.recordRequestStart(first.id);
  t.not(chooser.choose(makeInput(), backends)?.backend.id, first.id);
});

test("a suspect has no choice if no server is left", (t) => {
  const { loads, backends } = setUp(["a"]);
  const chooser = new SuspectBackendChooser(loads, { crash: "lost", position: 3 });
  t.is(chooser.choose(makeInput({ excluded: new Set(["a"]) }), backends), undefined);
  t.is(chooser.choose(makeInput(), []), undefined);
});
