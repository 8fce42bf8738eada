/** The scheduling policies that the benchmark compares: four baselines and the product's own. */
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

/** Creates the engine chooser and the priority policy of queued calls. */
export interface IPolicy {
  readonly name: string;
  readonly makeChooser: (preset: Preset) => IEngineChooser;
  readonly makeOrder: (preset: Preset) => IProgramOrder;
  /** Whether new programs are queued until their history fits into the KV cache of an engine. */
  readonly limitsStarts?: boolean;
}

function eligibleEngines(call: IRoutedCall, engines: readonly EngineState[]): EngineState[] {
  return engines.filter((engine) => engine.accepts(call.model) && !call.excluded.has(engine.id));
}

function toChoice(engine: EngineState | undefined): IChoice | undefined {
  if (engine === undefined) return undefined;
  return { engine, reason: ChoiceReason.Best, waitMs: expectedWaitMs(engine), candidates: [] };
}

class RoundRobinChooser implements IEngineChooser {
  #next = 0;

  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    const eligible = eligibleEngines(call, engines);
    return toChoice(eligible[this.#next++ % Math.max(1, eligible.length)]);
  }
}

class LeastLoadedChooser implements IEngineChooser {
  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    return toChoice(eligibleEngines(call, engines).sort((a, b) => a.load / a.slots - b.load / b.slots)[0]);
  }
}

/** Sends all calls of a program to one engine by rendezvous hashing over the eligible engines. */
class StickyChooser implements IEngineChooser {
  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    const hashOf = ({ id }: EngineState) => hash32(`${call.programId} ${id}`);
    return toChoice(eligibleEngines(call, engines).sort((a, b) => hashOf(b) - hashOf(a))[0]);
  }
}

class FifoPriorityPolicy implements IProgramOrder {
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

const makeClassDeadlinePolicy = (preset: Preset) => new ClassDeadlineOrder(() => preset);

export const POLICIES: readonly IPolicy[] = [
  {
    name: "round robin",
    makeChooser: () => new RoundRobinChooser(),
    makeOrder: () => new FifoPriorityPolicy(),
  },
  {
    name: LEAST_LOADED,
    makeChooser: () => new LeastLoadedChooser(),
    makeOrder: () => new FifoPriorityPolicy(),
  },
  { name: "sticky", makeChooser: () => new StickyChooser(), makeOrder: makeClassDeadlinePolicy },
  {
    name: FIFO,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makeOrder: () => new FifoPriorityPolicy(),
    limitsStarts: true,
  },
  {
    name: OURS,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makeOrder: makeClassDeadlinePolicy,
    limitsStarts: true,
  },
];
