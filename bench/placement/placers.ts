/** Ways to choose an engine for a turn: the product's own, and those that it is compared with. */
import { hash32 } from "../../src/base/common/hash.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import { EngineChooser } from "../../src/routing/common/backend_chooser.ts";
import { BackendLoads } from "../../src/routing/common/backend_loads.ts";
import { PromptCacheMap } from "../../src/routing/common/prompt_cache_map.ts";

const ENGINE = { slots: 16, kvTokens: 10_000_000, tokensPerEvent: 22 };

export interface ITurnPlace {
  readonly lineId: string;
  readonly sharedId: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly maxTokens: number;
  /** Instance that the turn comes through. */
  readonly instance: number;
}

/** Chooses engines, and learns what became of its choices. */
export interface IPlacer {
  choose(turn: ITurnPlace, loads: ReadonlyMap<string, number>): string;
  noteDone(turn: ITurnPlace, engineId: string): void;
}

export enum Placing {
  /** As the product does: whole cost, lines found through any instance. */
  Ours = "ours",
  /** As the product did before: each instance knows its own placements alone. */
  OwnKnowledge = "own knowledge",
  LeastLoaded = "least loaded",
  RoundRobin = "round robin",
  /** The line's engine by its hash, whatever its load. */
  Sticky = "sticky",
}

export function makePlacer(placing: Placing, engineIds: readonly string[], instances: number): IPlacer {
  switch (placing) {
    case Placing.Ours:
      return new ProductPlacer(engineIds, { instances, isShared: true });
    case Placing.OwnKnowledge:
      return new ProductPlacer(engineIds, { instances, isShared: false });
    case Placing.LeastLoaded:
      return { choose: (_turn, loads) => leastLoaded(engineIds, loads), noteDone: () => {} };
    case Placing.RoundRobin: {
      let next = 0;
      return { choose: () => engineIds[next++ % engineIds.length], noteDone: () => {} };
    }
    case Placing.Sticky:
      return { choose: ({ lineId }) => engineIds[hash32(lineId) % engineIds.length], noteDone: () => {} };
  }
}

function leastLoaded(engineIds: readonly string[], loads: ReadonlyMap<string, number>): string {
  return engineIds.reduce((best, id) => (loads.get(id) ?? 0) < (loads.get(best) ?? 0) ? id : best);
}

/** The product's chooser on each instance, with or without what the others tell. */
class ProductPlacer implements IPlacer {
  readonly #caches: readonly PromptCacheMap[];
  readonly #isShared: boolean;
  readonly #backends: readonly IBackendEntry[];

  constructor(engineIds: readonly string[], opts: { instances: number; isShared: boolean }) {
    this.#caches = Array.from({ length: opts.instances }, () => new PromptCacheMap());
    this.#isShared = opts.isShared;
    const rest = {
      service: "s",
      host: "h",
      port: 1,
      zone: "z",
      slots: ENGINE.slots,
      isDraining: false,
      startedAtMs: 0,
    };
    this.#backends = engineIds.map((id) => ({ id, ...rest }));
  }

  choose(turn: ITurnPlace, loads: ReadonlyMap<string, number>): string {
    const known = new BackendLoads(() => 0);
    known.noteReport({ instance: "all", running: loads });
    const chooser = new EngineChooser(ENGINE, { loads: known, caches: this.#caches[turn.instance] });
    const demand = {
      zone: "z",
      affinity: turn.lineId,
      parts: partsOf(turn),
      promptTokens: turn.sharedTokens + turn.ownTokens,
      maxTokens: turn.maxTokens,
      excluded: new Set<string>(),
    };
    return chooser.choose(demand, this.#backends)!.backend.id;
  }

  noteDone(turn: ITurnPlace, engineId: string): void {
    this.#caches[turn.instance].use(engineId, { parts: partsOf(turn), capacity: ENGINE.kvTokens });
    if (!this.#isShared) return;
    for (const cache of this.#caches) {
      for (const { id, tokens } of partsOf(turn)) cache.hear({ backendId: engineId, partId: id, tokens });
    }
  }
}

function partsOf({ lineId, sharedId, sharedTokens, ownTokens }: ITurnPlace) {
  return [{ id: sharedId, tokens: sharedTokens }, { id: lineId, tokens: ownTokens }];
}
