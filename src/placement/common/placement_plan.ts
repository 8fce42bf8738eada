/** Plans which engines load which models. Instances with the same list of engines compute the same plan. */
import { hash64 } from "../../base/common/hash.ts";
import type { Configuration } from "../../services/settings/common/gen/configuration.ts";
import type { EngineState } from "../../routing/common/engine_state.ts";
import { BackendCondition } from "../../routing/common/engine_state.ts";
import { EngineOrderAction } from "../../routing/common/model_engine.ts";

/** A model change to be ordered from an engine. */
export interface IPlannedOrder {
  readonly engine: EngineState;
  readonly action: EngineOrderAction;
  readonly model: string;
}

/**
 * Returns the orders that bring each model to its configured number of replicas. Models with 0 replicas are
 * left as they are. A surplus replica is unloaded only after all planned replicas of the model are loaded.
 */
export function planOrders(cfg: Configuration, engines: readonly EngineState[]): IPlannedOrder[] {
  const liveEngines = engines.filter(({ condition, loadReport }) =>
    condition === BackendCondition.Live && loadReport !== undefined
  );
  return Object.entries(cfg.models).flatMap(([model, { replicas }]): IPlannedOrder[] => {
    if (replicas === 0) return [];
    const targets = rankEngines(model, liveEngines).slice(0, replicas);
    const missing = targets.filter((engine) => !hasLoaded(engine, model));
    if (missing.length > 0) {
      return missing.map((engine) => ({ engine, action: EngineOrderAction.LoadModel, model }));
    }
    const surplus = liveEngines.filter((engine) => hasLoaded(engine, model) && !targets.includes(engine));
    return surplus.map((engine) => ({ engine, action: EngineOrderAction.UnloadModel, model }));
  });
}

/** Orders engines by their preference for a model, by rendezvous hashing. */
function rankEngines(model: string, engines: readonly EngineState[]): EngineState[] {
  const weight = (engine: EngineState) => hash64(`${model}\u0000${engine.id}`);
  return [...engines].sort((a, b) => weight(a) > weight(b) ? -1 : 1);
}

function hasLoaded(engine: EngineState, model: string): boolean {
  return engine.loadReport?.models.includes(model) === true;
}
