/** Choice of the backend server for an opaque request. */
import { hash32 } from "../../base/common/hash.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IEngineInfo } from "../../services/routes/common/route_table.ts";
import type { BackendLoads } from "./backend_loads.ts";
import type { ICachedPart, PromptCacheMap } from "./prompt_cache_map.ts";

/** Prompt tokens that an engine reads in a ms; only the ratio to the other costs matters. */
const PREFILL_TOKENS_PER_MS = 300;
/** Time of one token of a request that runs alone, in ms. */
const STEP_MS = 1.2;
/** What each further request adds to the time of a token, in ms. */
const STEP_PER_REQUEST_MS = 0.033;
/** Share of its most tokens that an answer usually has. */
const USUAL_ANSWER_SHARE = 0.5;
/** What a server in another availability zone adds to a request, in ms: one round trip. */
const CROSS_ZONE_MS = 1;
/** Cost that keeps two servers of equal cost apart by the line's hash, in ms: less than any real difference. */
const TIE_MS = 0.5;
/** Most by which an observed pace counts against a server. */
const MAX_SLOWNESS = 10;
/** Requests for each slot up to which a plain service's usual server for an object is kept. */
const AFFINITY_LOAD = 0.5;

/** What the choice depends on. */
export interface IBackendDemand {
  /** Zone of this instance. */
  readonly zone: string;
  /** Line of turns or object that should stay with one server; empty without one. */
  readonly affinity: string;
  readonly parts: readonly ICachedPart[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Servers that have failed or refused this request. */
  readonly excluded: ReadonlySet<string>;
}

/** A server and what spoke for it. */
export interface IBackendChoice {
  readonly backend: IBackendEntry;
  /** Expected cost of the request there, in ms. */
  readonly costMs: number;
  readonly running: number;
  readonly cachedTokens: number;
}

/** Picks a backend server for a request. */
export interface IBackendChooser {
  /** Undefined when none may take the request. */
  choose(demand: IBackendDemand, backends: readonly IBackendEntry[]): IBackendChoice | undefined;
}

/** Leaves out excluded servers, and paused ones while there are others. */
function candidatesOf(
  { excluded }: IBackendDemand,
  { backends, loads }: { backends: readonly IBackendEntry[]; loads: BackendLoads },
): readonly IBackendEntry[] {
  const allowed = backends.filter(({ id }) => !excluded.has(id));
  const well = allowed.filter(({ id }) => !loads.isPaused(id));
  return well.length > 0 ? well : allowed;
}

function cheapest(choices: readonly IBackendChoice[]): IBackendChoice | undefined {
  let best: IBackendChoice | undefined;
  for (const choice of choices) if (best === undefined || choice.costMs < best.costMs) best = choice;
  return best;
}

/** How much slower a server is than the usual one of its kind; 1 while nothing is known. */
function slowness(id: string, { loads, usualMs }: { loads: BackendLoads; usualMs: number }): number {
  const paceMs = loads.paceMs(id);
  if (paceMs === undefined || usualMs <= 0) return 1;
  return Math.min(MAX_SLOWNESS, Math.max(1, paceMs / usualMs));
}

/** The median of the known paces. */
function usualPaceMs(backends: readonly IBackendEntry[], loads: BackendLoads): number {
  const paces = backends.map(({ id }) => loads.paceMs(id)).filter((pace) => pace !== undefined);
  paces.sort((a, b) => a - b);
  return paces.length === 0 ? 0 : paces[Math.floor(paces.length / 2)];
}

/**
 * Takes the engine with the least expected time: wait for a slot, prefill of what is not cached, and
 * decoding at the pace that its batch allows, which all of its requests share. Load pattern: programs
 * of several turns with long shared prompts, whose targets leave about half of an idle engine's time.
 */
export class EngineChooser implements IBackendChooser {
  readonly #loads: BackendLoads;
  readonly #caches: PromptCacheMap;
  readonly #engine: IEngineInfo;

  constructor(engine: IEngineInfo, { loads, caches }: { loads: BackendLoads; caches: PromptCacheMap }) {
    this.#engine = engine;
    this.#loads = loads;
    this.#caches = caches;
  }

  choose(demand: IBackendDemand, backends: readonly IBackendEntry[]): IBackendChoice | undefined {
    const candidates = candidatesOf(demand, { backends, loads: this.#loads });
    const usualMs = usualPaceMs(candidates, this.#loads);
    return cheapest(candidates.map((backend) => this.#score(demand, { backend, usualMs })));
  }

  #score(
    demand: IBackendDemand,
    { backend, usualMs }: { backend: IBackendEntry; usualMs: number },
  ): IBackendChoice {
    const running = this.#loads.running(backend.id);
    const cachedTokens = this.#caches.cachedTokens(backend.id, demand.parts);
    const tokens = demand.maxTokens * USUAL_ANSWER_SHARE;
    const slow = slowness(backend.id, { loads: this.#loads, usualMs });
    const batch = Math.min(running, this.#engine.slots);
    const ownMs = tokens * (STEP_MS + STEP_PER_REQUEST_MS * batch) * slow;
    const prefillMs = Math.max(0, demand.promptTokens - cachedTokens) / PREFILL_TOKENS_PER_MS * slow;
    // What the request costs those that run there counts as much as its own time: each of their tokens
    // takes longer, and none comes while the prompt is read.
    const othersMs = (tokens * STEP_PER_REQUEST_MS + prefillMs) * batch;
    const waitMs = Math.max(0, running + 1 - this.#engine.slots) * ownMs / this.#engine.slots;
    const zoneMs = backend.zone === demand.zone ? 0 : CROSS_ZONE_MS;
    const costMs = waitMs + prefillMs + ownMs + othersMs + zoneMs + tieMs(demand.affinity, backend.id);
    return { backend, costMs, running, cachedTokens };
  }
}

/**
 * Takes the server with the fewest requests for each slot, weighted by its pace; an object stays with
 * its usual server while that has room. Load pattern: short calls in bursts behind the turns.
 */
export class ServiceChooser implements IBackendChooser {
  readonly #loads: BackendLoads;

  constructor(loads: BackendLoads) {
    this.#loads = loads;
  }

  choose(demand: IBackendDemand, backends: readonly IBackendEntry[]): IBackendChoice | undefined {
    const candidates = candidatesOf(demand, { backends, loads: this.#loads });
    const usualMs = usualPaceMs(candidates, this.#loads);
    const choices = candidates.map((backend) => {
      const running = this.#loads.running(backend.id);
      const slow = slowness(backend.id, { loads: this.#loads, usualMs });
      const zoneMs = backend.zone === demand.zone ? 0 : CROSS_ZONE_MS;
      const unitMs = usualMs > 0 ? usualMs : 1;
      const costMs = (running + 1) / backend.slots * slow * unitMs + zoneMs +
        tieMs(demand.affinity, backend.id);
      return { backend, costMs, running, cachedTokens: 0 };
    });
    return this.#usual(demand, choices) ?? cheapest(choices);
  }

  #usual({ affinity }: IBackendDemand, choices: readonly IBackendChoice[]): IBackendChoice | undefined {
    if (affinity === "") return undefined;
    const usual = cheapest(
      choices.map((choice) => ({ ...choice, costMs: tieMs(affinity, choice.backend.id) })),
    );
    if (usual === undefined || usual.running >= usual.backend.slots * AFFINITY_LOAD) return undefined;
    return usual;
  }
}

/** A small cost that differs by line and server, the same on every instance. */
function tieMs(affinity: string, backendId: string): number {
  return hash32(`${affinity}\u0000${backendId}`) / 2 ** 32 * TIE_MS;
}
