/** Chooses the engine for a model call. */
import type { Preset } from "../../services/settings/common/gen/configuration.ts";
import type { EngineState } from "./engine_state.ts";

const MS_PER_SECOND = 1000;

/** Input to the choice of an engine. */
export interface IEngineChoiceInput {
  readonly programId: string;
  readonly model: string;
  /** Tokens of the history and of the new messages. */
  readonly promptTokens: number;
  readonly expectedAnswerTokens: number;
  /** Whether the program has no history yet. */
  readonly isFirstCall: boolean;
  /** Ids of engines that have failed this call. */
  readonly excluded: ReadonlySet<string>;
}

/** Score of one engine that was considered, for the decision log. */
export interface IEngineCandidate {
  readonly engineId: string;
  /** Expected time to complete the call, in ms, weighted as the preset specifies. */
  readonly scoreMs: number;
  readonly waitMs: number;
  readonly cachedTokens: number;
}

export interface IEngineChoice {
  readonly engine: EngineState;
  readonly reason: ChoiceReason;
  readonly waitMs: number;
  readonly candidates: readonly IEngineCandidate[];
}

export enum ChoiceReason {
  /** The engine with the program's cache scores within the preset's margin of the best. */
  Warm = "warm",
  /** The engine with the earliest expected completion. */
  Best = "best",
}

/** Chooses an engine for a call. */
export interface IEngineChooser {
  /** Returns undefined if no engine may take the call. */
  choose(call: IEngineChoiceInput, engines: readonly EngineState[]): IEngineChoice | undefined;
}

/**
 * Chooses the engine with the earliest expected completion: queueing, prefill of uncached tokens, and
 * decoding. Prefers the engine that holds the program's cache unless the best engine scores better by
 * more than the preset's margin.
 */
export class ExpectedFinishChooser implements IEngineChooser {
  readonly #preset: () => Preset;

  constructor(preset: () => Preset) {
    this.#preset = preset;
  }

  choose(call: IEngineChoiceInput, engines: readonly EngineState[]): IEngineChoice | undefined {
    const usable = engines.filter((engine) => engine.accepts(call.model) && !call.excluded.has(engine.id));
    if (usable.length === 0) return undefined;
    const scored = usable.map((engine) => ({ engine, candidate: this.#score(call, engine) }));
    scored.sort((a, b) => a.candidate.scoreMs - b.candidate.scoreMs);
    const warm = this.#warmest(scored);
    const best = scored[0];
    const limit = best.candidate.scoreMs * (1 + this.#preset().stayMargin);
    const usesWarm = warm !== undefined && warm.candidate.scoreMs <= limit;
    const chosen = usesWarm ? warm : best;
    return {
      engine: chosen.engine,
      reason: usesWarm ? ChoiceReason.Warm : ChoiceReason.Best,
      waitMs: chosen.candidate.waitMs,
      candidates: scored.map(({ candidate }) => candidate),
    };
  }

  #warmest(scored: readonly IScored[]): IScored | undefined {
    const warm = scored.filter(({ candidate }) => candidate.cachedTokens > 0);
    return warm.sort((a, b) => b.candidate.cachedTokens - a.candidate.cachedTokens)[0];
  }

  #score(call: IEngineChoiceInput, engine: EngineState): IEngineCandidate {
    const waitMs = expectedWaitMs(engine);
    const cachedTokens = Math.min(call.promptTokens, engine.cache.expectedTokens(call.programId));
    const { prefillTokensPerSecond, decodeTokensPerSecond } = engine.loadReport!;
    const prefillMs = (call.promptTokens - cachedTokens) / prefillTokensPerSecond * MS_PER_SECOND;
    const decodeMs = call.expectedAnswerTokens / decodeTokensPerSecond * MS_PER_SECOND;
    const scoreMs = waitMs + prefillMs * this.#preset().cacheWeight + decodeMs;
    return { engineId: engine.id, scoreMs, waitMs, cachedTokens };
  }
}

interface IScored {
  readonly engine: EngineState;
  readonly candidate: IEngineCandidate;
}

/** Expected time until an engine starts one more call. */
export function expectedWaitMs(engine: EngineState): number {
  const callsAhead = engine.load - engine.slots + 1;
  return callsAhead <= 0 ? 0 : callsAhead * engine.meanCallMs / engine.slots;
}
