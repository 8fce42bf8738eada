/** The scheduling policies that the benchmark compares: four baselines and the product's own. */
import type { Preset } from "../../src/services/settings/common/gen/configuration.ts";
import type {
  IEngineChoice,
  IEngineChoiceInput,
  IEngineChooser,
} from "../../src/routing/common/engine_chooser.ts";
import {
  ChoiceReason,
  ExpectedFinishChooser,
  expectedWaitMs,
} from "../../src/routing/common/engine_chooser.ts";
import type { EngineState } from "../../src/routing/common/engine_state.ts";
import type { ICallPriorityPolicy, IPrioritizedCall } from "../../src/routing/common/call_priority.ts";
import { ClassDeadlinePolicy } from "../../src/routing/common/call_priority.ts";
import { hash32 } from "../../src/base/common/hash.ts";

/** Creates the engine chooser and the priority policy of queued calls. */
export interface ISchedulingPolicy {
  readonly name: string;
  readonly makeChooser: (preset: Preset) => IEngineChooser;
  readonly makePriorityPolicy: (preset: Preset) => ICallPriorityPolicy;
  /** Whether new programs are queued until their history fits into the KV cache of an engine. */
  readonly limitsStarts?: boolean;
}

function eligibleEngines(call: IEngineChoiceInput, engines: readonly EngineState[]): EngineState[] {
  return engines.filter((engine) => engine.accepts(call.model) && !call.excluded.has(engine.id));
}

function toChoice(engine: EngineState | undefined): IEngineChoice | undefined {
  if (engine === undefined) return undefined;
  return { engine, reason: ChoiceReason.Best, waitMs: expectedWaitMs(engine), candidates: [] };
}

class RoundRobinChooser implements IEngineChooser {
  #next = 0;

  choose(call: IEngineChoiceInput, engines: readonly EngineState[]): IEngineChoice | undefined {
    const eligible = eligibleEngines(call, engines);
    return toChoice(eligible[this.#next++ % Math.max(1, eligible.length)]);
  }
}

class LeastLoadedChooser implements IEngineChooser {
  choose(call: IEngineChoiceInput, engines: readonly EngineState[]): IEngineChoice | undefined {
    return toChoice(eligibleEngines(call, engines).sort((a, b) => a.load / a.slots - b.load / b.slots)[0]);
  }
}

/** Sends all calls of a program to one engine by rendezvous hashing over the eligible engines. */
class StickyChooser implements IEngineChooser {
  choose(call: IEngineChoiceInput, engines: readonly EngineState[]): IEngineChoice | undefined {
    const hashOf = ({ id }: EngineState) => hash32(`${call.programId} ${id}`);
    return toChoice(eligibleEngines(call, engines).sort((a, b) => hashOf(b) - hashOf(a))[0]);
  }
}

class FifoPriorityPolicy implements ICallPriorityPolicy {
  compare(a: IPrioritizedCall, b: IPrioritizedCall): number {
    return a.queuedAtMs - b.queuedAtMs;
  }

  priority({ queuedAtMs }: IPrioritizedCall): number {
    return queuedAtMs;
  }
}

export const LEAST_LOADED = "least loaded";
export const FIFO_PER_CALL = "FIFO per call";
export const PRODUCT = "ours";

const makeClassDeadlinePolicy = (preset: Preset) => new ClassDeadlinePolicy(() => preset);

export const POLICIES: readonly ISchedulingPolicy[] = [
  {
    name: "round robin",
    makeChooser: () => new RoundRobinChooser(),
    makePriorityPolicy: () => new FifoPriorityPolicy(),
  },
  {
    name: LEAST_LOADED,
    makeChooser: () => new LeastLoadedChooser(),
    makePriorityPolicy: () => new FifoPriorityPolicy(),
  },
  { name: "sticky", makeChooser: () => new StickyChooser(), makePriorityPolicy: makeClassDeadlinePolicy },
  {
    name: FIFO_PER_CALL,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makePriorityPolicy: () => new FifoPriorityPolicy(),
    limitsStarts: true,
  },
  {
    name: PRODUCT,
    makeChooser: (preset) => new ExpectedFinishChooser(() => preset),
    makePriorityPolicy: makeClassDeadlinePolicy,
    limitsStarts: true,
  },
];
