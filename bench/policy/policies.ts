/** The policies that are compared: four baselines and the product's own. */
import type { Preset } from "../../src/services/settings/common/gen/configuration.ts";
import type { IChoice, IEngineChooser, IRoutedCall } from "../../src/routing/common/engine_chooser.ts";
import {
  ChoiceReason,
  ExpectedFinishChooser,
  expectedWaitMs,
} from "../../src/routing/common/engine_chooser.ts";
import type { EngineState } from "../../src/routing/common/engine_state.ts";
import type { IOrderedCall, IProgramOrder } from "../../src/routing/common/program_order.ts";
import { ClassDeadlineOrder } from "../../src/routing/common/program_order.ts";
import { hash32 } from "../../src/base/common/hash.ts";

/** A way to choose engines and to order calls. */
export interface IPolicy {
  readonly name: string;
  readonly makeChooser: (preset: Preset) => IEngineChooser;
  readonly makeOrder: (preset: Preset) => IProgramOrder;
  /** Whether new programs wait until their history fits into an engine's memory. */
  readonly limitsStarts?: boolean;
}

function usable(call: IRoutedCall, engines: readonly EngineState[]): EngineState[] {
  return engines.filter((engine) => engine.accepts(call.model) && !call.excluded.has(engine.id));
}

function chosen(engine: EngineState | undefined): IChoice | undefined {
  if (engine === undefined) return undefined;
  return { engine, reason: ChoiceReason.Best, waitMs: expectedWaitMs(engine), candidates: [] };
}

class RoundRobinChooser implements IEngineChooser {
  #next = 0;

  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    const pool = usable(call, engines);
    return chosen(pool[this.#next++ % Math.max(1, pool.length)]);
  }
}

class LeastLoadedChooser implements IEngineChooser {
  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    return chosen(usable(call, engines).sort((a, b) => a.load / a.slots - b.load / b.slots)[0]);
  }
}

/** Every call of a program goes to the engine that its id hashes to, if that one may take it at all. */
class StickyChooser implements IEngineChooser {
  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    const weight = ({ id }: EngineState) => hash32(`${call.programId} ${id}`);
    return chosen(usable(call, engines).sort((a, b) => weight(b) - weight(a))[0]);
  }
}

class FifoOrder implements IProgramOrder {
  compare(a: IOrderedCall, b: IOrderedCall): number {
    return a.queuedAtMs - b.queuedAtMs;
  }

  priority({ queuedAtMs }: IOrderedCall): number {
    return queuedAtMs;
  }
}

export const LEAST_LOADED = "least loaded";
export const FIFO = "FIFO per call";
export const OURS = "ours";

const byClass = (preset: Preset) => new ClassDeadlineOrder(() => preset);

export const POLICIES: readonly IPolicy[] = [
  { name: "round robin", makeChooser: () => new RoundRobinChooser(), makeOrder: () => new FifoOrder() },
  { name: LEAST_LOADED, makeChooser: () => new LeastLoadedChooser(), makeOrder: () => new FifoOrder() },
  { name: "sticky", makeChooser: () => new StickyChooser(), makeOrder: byClass },
  {
    name: FIFO,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makeOrder: () => new FifoOrder(),
    limitsStarts: true,
  },
  {
    name: OURS,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makeOrder: byClass,
    limitsStarts: true,
  },
];
