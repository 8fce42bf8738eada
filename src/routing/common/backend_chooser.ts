/** Chooses the backend server for an opaque request. */
import { hash32 } from "../../base/common/hash.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IEngineInfo } from "../../services/routes/common/route_table.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { ICacheablePart, PromptCacheIndex } from "./prompt_cache_index.ts";

/** Prefill throughput of an engine; only the ratio to the other costs matters. */
const PREFILL_TOKENS_PER_MS = 300;
/** Time to decode one token of a request that runs alone. */
const DECODE_MS_PER_TOKEN = 1.2;
/** Additional time per token for each further request in the batch. */
const BATCH_OVERHEAD_MS_PER_TOKEN = 0.033;
/** Expected length of a response as a share of its maximum tokens. */
const EXPECTED_RESPONSE_SHARE = 0.5;
/** Cost of a request to another availability zone: one round trip. */
const CROSS_ZONE_MS = 1;
/** Upper bound of the hash-based cost that breaks ties; smaller than any real difference in cost. */
const MAX_TIE_BREAK_MS = 0.5;
/** Upper bound of the factor by which observed latency raises a server's cost. */
const MAX_SLOWDOWN = 10;
/** Upper bound of the factor by which failed requests raise a server's cost. */
const MAX_FAILURE_FACTOR = 10;
/** Latency relative to the median up to which an engine is drawn. */
const MAX_SAMPLED_SLOWDOWN = 1.5;
/** Utilization (requests per slot) from which the preferred server for an affinity key is not used. */
const MAX_AFFINITY_UTILIZATION = 0.5;

/** Input to the choice of a backend server. */
export interface IBackendChoiceInput {
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Key of the session or object whose requests should reach the same server; empty if none. */
  readonly affinity: string;
  readonly parts: readonly ICacheablePart[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Ids of servers that have failed or refused this request. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request may be sent again after an attempt that may have run. */
  readonly isRepeatable: boolean;
}

/** The chosen server and the inputs to its cost. */
export interface IBackendChoice {
  readonly backend: IBackendEntry;
  /** Expected cost of running the request on the server, in ms. */
  readonly costMs: number;
  readonly running: number;
  readonly cachedTokens: number;
}

/** Chooses a backend server for a request. */
export interface IBackendChooser {
  /** Returns undefined if no server may take the request. */
  choose(input: IBackendChoiceInput, backends: readonly IBackendEntry[]): IBackendChoice | undefined;
}

export interface IEngineChooserOptions {
  readonly loads: BackendLoadTracker;
  readonly caches: PromptCacheIndex;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

interface IEligibilityOptions {
  readonly backends: readonly IBackendEntry[];
  readonly loads: BackendLoadTracker;
}

/** Filters out excluded servers, and servers in back-off unless all others are excluded. */
function eligibleBackends(
  { excluded }: IBackendChoiceInput,
  { backends, loads }: IEligibilityOptions,
): readonly IBackendEntry[] {
  const allowed = backends.filter(({ id }) => !excluded.has(id));
  const healthy = allowed.filter(({ id }) => !loads.isInBackoff(id));
  return healthy.length > 0 ? healthy : allowed;
}

/** Servers that may receive a request. */
interface ICandidates {
  readonly backends: readonly IBackendEntry[];
  /** Failure rates of those that fail clearly more requests than the others, by id. */
  readonly failing: ReadonlyMap<string, number>;
  /** Failing server that should receive this request to find out whether it has recovered. */
  readonly probed: IBackendEntry | undefined;
}

/**
 * Selects the servers that may receive a request. Once-only requests pass failing servers over as long as another one has a
 * free slot. Of the repeatable requests, one now and then is sent to a failing server, unless an attempt has failed already.
 */
function selectCandidates(input: IBackendChoiceInput, opts: IEligibilityOptions): ICandidates {
  const { loads } = opts;
  const backends = eligibleBackends(input, opts);
  const failing = loads.failureRates.failingAmong(backends);
  if (failing.size === 0) return { backends, failing, probed: undefined };
  const sound = backends.filter(({ id }) => !failing.has(id));
  if (input.isRepeatable) {
    const isDue = (backend: IBackendEntry) =>
      failing.has(backend.id) && loads.failureRates.isProbeDue(backend);
    return { backends, failing, probed: input.excluded.size > 0 ? undefined : backends.find(isDue) };
  }
  const hasFreeSlot = sound.some(({ id, slots }) => loads.running(id) < slots);
  return { backends: hasFreeSlot ? sound : backends, failing, probed: undefined };
}

/** Factor by which the attempts that a server fails raise the cost of a request there. */
function failureFactorOf(id: string, failing: ReadonlyMap<string, number>): number {
  return Math.min(MAX_FAILURE_FACTOR, 1 / (1 - (failing.get(id) ?? 0)));
}

/** Returns the choices with the largest number of cached tokens. */
function withMostCached(choices: readonly IBackendChoice[]): readonly IBackendChoice[] {
  const most = Math.max(...choices.map(({ cachedTokens }) => cachedTokens));
  return choices.filter(({ cachedTokens }) => cachedTokens === most);
}

function cheapest(choices: readonly IBackendChoice[]): IBackendChoice | undefined {
  let best: IBackendChoice | undefined;
  for (const choice of choices) if (best === undefined || choice.costMs < best.costMs) best = choice;
  return best;
}

/** Latency of a server relative to the median, between 1 and the upper bound; 1 without samples. */
function slowdownOf(
  id: string,
  { loads, medianMs }: { loads: BackendLoadTracker; medianMs: number },
): number {
  const latencyMs = loads.unitLatencyMs(id);
  if (latencyMs === undefined || medianMs <= 0) return 1;
  return Math.min(MAX_SLOWDOWN, Math.max(1, latencyMs / medianMs));
}

/** Median latency per unit of work over the servers with samples; 0 if there are none. */
function medianLatencyMs(backends: readonly IBackendEntry[], loads: BackendLoadTracker): number {
  const latencies = backends.map(({ id }) => loads.unitLatencyMs(id)).filter((latencyMs) =>
    latencyMs !== undefined
  );
  latencies.sort((a, b) => a - b);
  return latencies.length === 0 ? 0 : latencies[Math.floor(latencies.length / 2)];
}

/**
 * Chooses the engine with the lowest expected cost: queueing for a slot, prefill of uncached tokens, and
 * decoding at a speed that depends on the batch size. Designed for programs of several turns with long
 * shared prompts, whose latency targets leave a slack of about half of the time on an idle engine.
 *
 * While other instances use the engines as well, only the engine that has the session cached and a random sample are
 * compared: for a new session one engine of those that have most of its shared parts cached, and one of all.
 * Many instances see the same loads, some 100 ms old: if each chose the cheapest of all engines, all would send
 * to the same few until the next report, and sessions would leave their caches for engines that only seem idle.
 */
export class EngineBackendChooser implements IBackendChooser {
  readonly #loads: BackendLoadTracker;
  readonly #caches: PromptCacheIndex;
  readonly #engine: IEngineInfo;
  readonly #random: () => number;

  constructor(engine: IEngineInfo, { loads, caches, random }: IEngineChooserOptions) {
    this.#engine = engine;
    this.#loads = loads;
    this.#caches = caches;
    this.#random = random;
  }

  choose(input: IBackendChoiceInput, backends: readonly IBackendEntry[]): IBackendChoice | undefined {
    const { backends: candidates, failing, probed } = selectCandidates(input, {
      backends,
      loads: this.#loads,
    });
    const medianMs = medianLatencyMs(candidates, this.#loads);
    if (probed !== undefined) return this.#score(input, { backend: probed, medianMs, failing });
    const choices = candidates.map((backend) => this.#score(input, { backend, medianMs, failing }));
    if (!this.#loads.hasPeerLoad()) return cheapest(choices);
    const isSound = ({ backend }: IBackendChoice) =>
      !failing.has(backend.id) &&
      slowdownOf(backend.id, { loads: this.#loads, medianMs }) <= MAX_SAMPLED_SLOWDOWN;
    return cheapest(this.#sample(input, { choices, sound: choices.filter(isSound) }));
  }

  /** Returns the engine with the session in its cache, if there is one, and some others at random, sound ones if there are any. */
  #sample(
    { parts }: IBackendChoiceInput,
    { choices, sound }: { choices: readonly IBackendChoice[]; sound: readonly IBackendChoice[] },
  ): readonly IBackendChoice[] {
    const sharedTokens = parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const home = cheapest(choices.filter(({ cachedTokens }) => cachedTokens > sharedTokens));
    const drawable = sound.length > 0 ? sound : choices;
    const first = home ?? this.#draw(withMostCached(drawable));
    const other = this.#draw(drawable.filter((choice) => choice !== first));
    return [first, other].filter((choice) => choice !== undefined);
  }

  #draw(choices: readonly IBackendChoice[]): IBackendChoice | undefined {
    return choices[Math.floor(this.#random() * choices.length)];
  }

  #score(
    input: IBackendChoiceInput,
    { backend, medianMs, failing }: {
      backend: IBackendEntry;
      medianMs: number;
      failing: ReadonlyMap<string, number>;
    },
  ): IBackendChoice {
    const running = this.#loads.running(backend.id);
    const cachedTokens = this.#caches.cachedTokens(backend.id, input.parts);
    const tokens = input.maxTokens * EXPECTED_RESPONSE_SHARE;
    const slowdown = slowdownOf(backend.id, { loads: this.#loads, medianMs });
    const batch = Math.min(running, this.#engine.slots);
    const ownMs = tokens * (DECODE_MS_PER_TOKEN + BATCH_OVERHEAD_MS_PER_TOKEN * batch) * slowdown;
    const prefillMs = Math.max(0, input.promptTokens - cachedTokens) / PREFILL_TOKENS_PER_MS * slowdown;
    // Delay imposed on the running requests has the same weight as the request's own time: a larger batch
    // slows down each of their tokens, and prefill blocks their decoding.
    const othersMs = (tokens * BATCH_OVERHEAD_MS_PER_TOKEN + prefillMs) * batch;
    const waitMs = Math.max(0, running + 1 - this.#engine.slots) * ownMs / this.#engine.slots;
    const zoneMs = backend.zone === input.zone ? 0 : CROSS_ZONE_MS;
    const costMs = (waitMs + prefillMs + ownMs + othersMs) * failureFactorOf(backend.id, failing) +
      zoneMs + tieBreakMs(input.affinity, backend.id);
    return { backend, costMs, running, cachedTokens };
  }
}

/**
 * Chooses the server with the fewest requests of this instance per slot, weighted by its latency. Requests with an affinity
 * key keep using the key's preferred server while that has capacity. Designed for bursts of short calls
 * that follow turns.
 *
 * Only the requests of this instance count. Calls are shorter than the age of the loads that others report, so that many
 * instances that chose by these would send to the same server. Among equal servers each instance has an order of its own,
 * in which it finds its connections to the first ones open.
 */
export class ServiceBackendChooser implements IBackendChooser {
  readonly #loads: BackendLoadTracker;
  readonly #instanceKey: string;

  /** `instanceKey` distinguishes this instance from the others. */
  constructor(loads: BackendLoadTracker, instanceKey: string) {
    this.#loads = loads;
    this.#instanceKey = instanceKey;
  }

  choose(input: IBackendChoiceInput, backends: readonly IBackendEntry[]): IBackendChoice | undefined {
    const { backends: candidates, failing, probed } = selectCandidates(input, {
      backends,
      loads: this.#loads,
    });
    const medianMs = medianLatencyMs(candidates, this.#loads);
    const unitMs = medianMs > 0 ? medianMs : 1;
    const choices = (probed === undefined ? candidates : [probed]).map((backend) => {
      const running = this.#loads.running(backend.id);
      const slowdown = slowdownOf(backend.id, { loads: this.#loads, medianMs });
      const zoneMs = backend.zone === input.zone ? 0 : CROSS_ZONE_MS;
      // Without latency samples a request weighs little, and ties must not outweigh load or failures.
      const tieBreakScale = Math.min(1, unitMs / backend.slots);
      const costMs = (this.#loads.localRunning(backend.id) + 1) / backend.slots * slowdown *
          failureFactorOf(backend.id, failing) * unitMs +
        zoneMs + tieBreakMs(input.affinity || this.#instanceKey, backend.id) * tieBreakScale;
      return { backend, costMs, running, cachedTokens: 0 };
    });
    const sound = choices.filter(({ backend }) => !failing.has(backend.id));
    return this.#preferred(input, sound) ?? cheapest(choices);
  }

  #preferred(
    { affinity }: IBackendChoiceInput,
    choices: readonly IBackendChoice[],
  ): IBackendChoice | undefined {
    if (affinity === "") return undefined;
    const preferred = cheapest(
      choices.map((choice) => ({ ...choice, costMs: tieBreakMs(affinity, choice.backend.id) })),
    );
    if (preferred === undefined || preferred.running >= preferred.backend.slots * MAX_AFFINITY_UTILIZATION) {
      return undefined;
    }
    return preferred;
  }
}

/** Separates the requests that were unfinished during the same crash of a server. */
export interface ISeparation {
  /** The crash; the same for all of them. */
  readonly crash: string;
  /** Position of the request among them, from 0. */
  readonly position: number;
}

/**
 * Chooses a server for a suspect, a request during which a server has crashed. The requests that shared a crash
 * are numbered, and each takes another server of an order that all instances agree on without any exchange.
 * Designed for the moment after a crash: all requests of the lost server are retried at once, and only one of
 * them has caused the crash. Each further crash divides those that may have caused it by the number of servers,
 * so that on a few servers, too, the cause is soon alone.
 */
export class SuspectBackendChooser implements IBackendChooser {
  readonly #loads: BackendLoadTracker;
  readonly #separation: ISeparation;

  constructor(loads: BackendLoadTracker, separation: ISeparation) {
    this.#loads = loads;
    this.#separation = separation;
  }

  choose(input: IBackendChoiceInput, backends: readonly IBackendEntry[]): IBackendChoice | undefined {
    const { crash, position } = this.#separation;
    const order = [...backends].sort((a, b) => tieBreakMs(crash, a.id) - tieBreakMs(crash, b.id));
    const start = order.length === 0 ? 0 : position % order.length;
    const rotated = [...order.slice(start), ...order.slice(0, start)];
    const eligible = eligibleBackends(input, { backends: rotated, loads: this.#loads });
    const backend = eligible.find(({ id, slots }) => this.#loads.running(id) < slots) ?? eligible.at(0);
    if (backend === undefined) return undefined;
    return { backend, costMs: 0, running: this.#loads.running(backend.id), cachedTokens: 0 };
  }
}

/** Tie-breaking cost derived from the affinity key and the server, identical on every instance. */
function tieBreakMs(affinity: string, backendId: string): number {
  return hash32(`${affinity}\u0000${backendId}`) / 2 ** 32 * MAX_TIE_BREAK_MS;
}
