/** Engine selection for a turn: the product's own strategy and the baselines. */
import { hash32 } from "../../src/base/common/hash.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import { EngineBackendChooser } from "../../src/routing/common/backend_chooser.ts";
import { PromptCacheIndex } from "../../src/routing/common/prompt_cache_index.ts";
import type { IEngineCapacity } from "./engine_model.ts";
import type { LoadReports } from "./load_reports.ts";

const TOKENS_PER_EVENT = 22;

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

export interface IEngineSelectorOptions {
  readonly engineIds: readonly string[];
  readonly engine: IEngineCapacity;
  readonly instances: number;
  readonly reports: LoadReports;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export function makeEngineSelector(
  strategy: PlacementStrategy,
  opts: IEngineSelectorOptions,
): IEngineSelector {
  const { engineIds } = opts;
  switch (strategy) {
    case PlacementStrategy.CostModel:
      return new ProductEngineSelector(opts, true);
    case PlacementStrategy.CostModelWithoutReports:
      return new ProductEngineSelector(opts, false);
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

/** Runs the product's chooser for each instance, with or without reports of prefixes from the other instances. */
class ProductEngineSelector implements IEngineSelector {
  readonly #cacheIndexes: readonly PromptCacheIndex[];
  readonly #opts: IEngineSelectorOptions;
  readonly #sharesPrefixes: boolean;
  readonly #backends: readonly IBackendEntry[];

  constructor(opts: IEngineSelectorOptions, sharesPrefixes: boolean) {
    this.#opts = opts;
    this.#sharesPrefixes = sharesPrefixes;
    this.#cacheIndexes = Array.from({ length: opts.instances }, () => new PromptCacheIndex());
    const commonFields = {
      service: "s",
      host: "h",
      port: 1,
      zone: "z",
      slots: opts.engine.slots,
      isDraining: false,
      startedAtMs: 0,
    };
    this.#backends = opts.engineIds.map((id) => ({ id, ...commonFields }));
  }

  choose(turn: ITurnInput): string {
    const chooser = new EngineBackendChooser({ ...this.#opts.engine, tokensPerEvent: TOKENS_PER_EVENT }, {
      loads: this.#opts.reports.viewOf(turn.instanceIndex),
      caches: this.#cacheIndexes[turn.instanceIndex],
      random: this.#opts.random,
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
      capacity: this.#opts.engine.kvTokens,
    });
    if (!this.#sharesPrefixes) return;
    const { reports } = this.#opts;
    this.#cacheIndexes.forEach((cacheIndex, instance) => {
      const [prefix, session] = prefixesOf(turn);
      // The home of a session comes with each turn's budget; prefixes come with the reports.
      cacheIndex.recordReportedPart({ backendId: engineId, partId: session.id, tokens: session.tokens });
      if (!reports.isReporting(instance) || !reports.isReporting(turn.instanceIndex)) return;
      cacheIndex.recordReportedPart({ backendId: engineId, partId: prefix.id, tokens: prefix.tokens });
    });
  }
}

function prefixesOf({ sessionId, sharedPrefixId, sharedPrefixTokens, sessionTokens }: ITurnInput) {
  return [{ id: sharedPrefixId, tokens: sharedPrefixTokens }, { id: sessionId, tokens: sessionTokens }];
}
