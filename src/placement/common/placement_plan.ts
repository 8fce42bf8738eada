/** Which engine should hold which model. The same on every instance that knows the same engines. */
import { hash64 } from "../../base/common/hash.ts";
import type { Configuration } from "../../services/settings/common/gen/configuration.ts";
import type { EngineState } from "../../routing/common/engine_state.ts";
import { BackendCondition } from "../../routing/common/engine_state.ts";
import { EngineOrderAction } from "../../routing/common/model_engine.ts";

/** A change that an engine should be ordered to make. */
export interface IPlannedOrder {
  readonly engine: EngineState;
  readonly action: EngineOrderAction;
  readonly model: string;
}

/**
 * Lists the orders that bring the engines to the configured replicas. Models with 0 replicas are left
 * as they are. A model is unloaded only once all its replicas are loaded elsewhere.
 */
export function planOrders(cfg: Configuration, engines: readonly EngineState[]): IPlannedOrder[] {
  const live = engines.filter(({ condition, report }) =>
    condition === BackendCondition.Live && report !== undefined
  );
  return Object.entries(cfg.models).flatMap(([model, { replicas }]): IPlannedOrder[] => {
    if (replicas === 0) return [];
    const wanted = pickEngines(model, live).slice(0, replicas);
    const missing = wanted.filter((engine) => !holds(engine, model));
    if (missing.length > 0) {
      return missing.map((engine) => ({ engine, action: EngineOrderAction.LoadModel, model }));
    }
    const surplus = live.filter((engine) => holds(engine, model) && !wanted.includes(engine));
    return surplus.map((engine) => ({ engine, action: EngineOrderAction.UnloadModel, model }));
  });
}

/** Engines in the order in which they are to hold a model. */
function pickEngines(model: string, engines: readonly EngineState[]): EngineState[] {
  const weight = (engine: EngineState) => hash64(`${model}\u0000${engine.id}`);
  return [...engines].sort((a, b) => weight(a) > weight(b) ? -1 : 1);
}

function holds(engine: EngineState, model: string): boolean {
  return engine.report?.models.includes(model) === true;
}
