/** Engine selection for a turn: the product's own strategy and the baselines. */
import { hash32 } from "../../src/base/common/hash.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import { EngineBackendChooser } from "../../src/routing/common/backend_chooser.ts";
import { BackendLoadTracker } from "../../src/routing/common/backend_load_tracker.ts";
import { PromptCacheIndex } from "../../src/routing/common/prompt_cache_index.ts";

const ENGINE_INFO = { slots: 16, kvTokens: 10_000_000, tokensPerEvent: 22 };

export interface ITurnInput {
  readonly sessionId: string;
  readonly sharedPrefixId: string;
  readonly sharedPrefixTokens: number;
  readonly sessionTokens: number;
  readonly maxTokens: number;
  /** Index of the instance that received the turn. */
  readonly instanceIndex: number;
}

/** Chooses the engine of each turn and records completed turns. */
export interface IEngineSelector {
  choose(turn: ITurnInput, loads: ReadonlyMap<string, number>): string;
  recordCompletion(turn: ITurnInput, engineId: string): void;
}

export enum PlacementStrategy {
  /** The product's cost model; instances share reports of the prefixes that engines have cached. */
  CostModel = "ours",
  /** The product's earlier behaviour: the same cost model, but no reports between instances. */
  CostModelWithoutReports = "own knowledge",
  LeastLoaded = "least loaded",
  RoundRobin = "round robin",
  /** The engine that the session's hash selects, regardless of load. */
  Sticky = "sticky",
}

export function makeEngineSelector(
  strategy: PlacementStrategy,
  engineIds: readonly string[],
  instances: number,
): IEngineSelector {
  switch (strategy) {
    case PlacementStrategy.CostModel:
      return new ProductEngineSelector(engineIds, { instances, sharesReports: true });
    case PlacementStrategy.CostModelWithoutReports:
      return new ProductEngineSelector(engineIds, { instances, sharesReports: false });
    case PlacementStrategy.LeastLoaded:
      return { choose: (_turn, loads) => leastLoaded(engineIds, loads), recordCompletion: () => {} };
    case PlacementStrategy.RoundRobin: {
      let nextIndex = 0;
      return { choose: () => engineIds[nextIndex++ % engineIds.length], recordCompletion: () => {} };
    }
    case PlacementStrategy.Sticky:
      return {
        choose: ({ sessionId }) => engineIds[hash32(sessionId) % engineIds.length],
        recordCompletion: () => {},
      };
  }
}

function leastLoaded(engineIds: readonly string[], loads: ReadonlyMap<string, number>): string {
  return engineIds.reduce((best, id) => (loads.get(id) ?? 0) < (loads.get(best) ?? 0) ? id : best);
}

/** Runs the product's chooser for each instance, with or without reports from the other instances. */
class ProductEngineSelector implements IEngineSelector {
  readonly #cacheIndexes: readonly PromptCacheIndex[];
  readonly #sharesReports: boolean;
  readonly #backends: readonly IBackendEntry[];

  constructor(engineIds: readonly string[], opts: { instances: number; sharesReports: boolean }) {
    this.#cacheIndexes = Array.from({ length: opts.instances }, () => new PromptCacheIndex());
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

  choose(turn: ITurnInput, loads: ReadonlyMap<string, number>): string {
    const loadTracker = new BackendLoadTracker(() => 0);
    loadTracker.recordPeerReport({ instance: "all", running: loads });
    const chooser = new EngineBackendChooser(ENGINE_INFO, {
      loads: loadTracker,
      caches: this.#cacheIndexes[turn.instanceIndex],
    });
    const input = {
      zone: "z",
      affinity: turn.sessionId,
      parts: prefixesOf(turn),
      promptTokens: turn.sharedPrefixTokens + turn.sessionTokens,
      maxTokens: turn.maxTokens,
      excluded: new Set<string>(),
      isRepeatable: false,
    };
    return chooser.choose(input, this.#backends)!.backend.id;
  }

  recordCompletion(turn: ITurnInput, engineId: string): void {
    this.#cacheIndexes[turn.instanceIndex].recordPrompt(engineId, {
      parts: prefixesOf(turn),
      capacity: ENGINE_INFO.kvTokens,
    });
    if (!this.#sharesReports) return;
    for (const cacheIndex of this.#cacheIndexes) {
      for (const { id, tokens } of prefixesOf(turn)) {
        cacheIndex.recordReportedPart({ backendId: engineId, partId: id, tokens });
      }
    }
  }
}

function prefixesOf({ sessionId, sharedPrefixId, sharedPrefixTokens, sessionTokens }: ITurnInput) {
  return [{ id: sharedPrefixId, tokens: sharedPrefixTokens }, { id: sessionId, tokens: sessionTokens }];
}
