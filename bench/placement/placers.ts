/** Engine selection for a turn: the product's own strategy and the baselines. */
import { hash32 } from "../../src/base/common/hash.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import { EngineChooser } from "../../src/routing/common/backend_chooser.ts";
import { BackendLoads } from "../../src/routing/common/backend_loads.ts";
import { PromptCacheMap } from "../../src/routing/common/prompt_cache_map.ts";

const ENGINE_INFO = { slots: 16, kvTokens: 10_000_000, tokensPerEvent: 22 };

export interface ITurnPlace {
  readonly lineId: string;
  readonly sharedId: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly maxTokens: number;
  /** Index of the instance that received the turn. */
  readonly instance: number;
}

/** Chooses the engine of each turn and records completed turns. */
export interface IPlacer {
  choose(turn: ITurnPlace, loads: ReadonlyMap<string, number>): string;
  noteDone(turn: ITurnPlace, engineId: string): void;
}

export enum Placing {
  /** The product's cost model; instances share reports of the prompt parts that engines have cached. */
  Ours = "ours",
  /** The product's earlier behaviour: the same cost model, but no reports between instances. */
  OwnKnowledge = "own knowledge",
  LeastLoaded = "least loaded",
  RoundRobin = "round robin",
  /** The engine that the session's hash selects, regardless of load. */
  Sticky = "sticky",
}

export function makePlacer(strategy: Placing, engineIds: readonly string[], instances: number): IPlacer {
  switch (strategy) {
    case Placing.Ours:
      return new ProductEngineSelector(engineIds, { instances, sharesReports: true });
    case Placing.OwnKnowledge:
      return new ProductEngineSelector(engineIds, { instances, sharesReports: false });
    case Placing.LeastLoaded:
      return { choose: (_turn, loads) => leastLoaded(engineIds, loads), noteDone: () => {} };
    case Placing.RoundRobin: {
      let nextIndex = 0;
      return { choose: () => engineIds[nextIndex++ % engineIds.length], noteDone: () => {} };
    }
    case Placing.Sticky:
      return { choose: (turn) => engineIds[hash32(turn.lineId) % engineIds.length], noteDone: () => {} };
  }
}

function leastLoaded(engineIds: readonly string[], loads: ReadonlyMap<string, number>): string {
  return engineIds.reduce((best, id) => (loads.get(id) ?? 0) < (loads.get(best) ?? 0) ? id : best);
}

/** Runs the product's chooser for each instance, with or without reports from the other instances. */
class ProductEngineSelector implements IPlacer {
  readonly #cacheIndexes: readonly PromptCacheMap[];
  readonly #sharesReports: boolean;
  readonly #backends: readonly IBackendEntry[];

  constructor(engineIds: readonly string[], opts: { instances: number; sharesReports: boolean }) {
    this.#cacheIndexes = Array.from({ length: opts.instances }, () => new PromptCacheMap());
    this.#sharesReports = opts.sharesReports;
    const commonFields = {
      service: "s",
      host: "h",
      port: 1,
      zone: "z",
      slots: ENGINE_INFO.slots,
      isDraining: false,
      startedAtMs: 0,
    };
    this.#backends = engineIds.map((id) => ({ id, ...commonFields }));
  }

  choose(turn: ITurnPlace, loads: ReadonlyMap<string, number>): string {
    const loadTracker = new BackendLoads(() => 0);
    loadTracker.noteReport({ instance: "all", running: loads });
    const chooser = new EngineChooser(ENGINE_INFO, {
      loads: loadTracker,
      caches: this.#cacheIndexes[turn.instance],
    });
    const input = {
      zone: "z",
      affinity: turn.lineId,
      parts: cacheablePartsOf(turn),
      promptTokens: turn.sharedTokens + turn.ownTokens,
      maxTokens: turn.maxTokens,
      excluded: new Set<string>(),
    };
    return chooser.choose(input, this.#backends)!.backend.id;
  }

  noteDone(turn: ITurnPlace, engineId: string): void {
    this.#cacheIndexes[turn.instance].use(engineId, {
      parts: cacheablePartsOf(turn),
      capacity: ENGINE_INFO.kvTokens,
    });
    if (!this.#sharesReports) return;
    for (const cacheIndex of this.#cacheIndexes) {
      for (const { id, tokens } of cacheablePartsOf(turn)) {
        cacheIndex.hear({ backendId: engineId, partId: id, tokens });
      }
    }
  }
}

function cacheablePartsOf(turn: ITurnPlace) {
  return [{ id: turn.sharedId, tokens: turn.sharedTokens }, { id: turn.lineId, tokens: turn.ownTokens }];
}
