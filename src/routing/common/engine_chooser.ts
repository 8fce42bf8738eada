/** Choice of the engine for a call. */
import type { Preset } from "../../services/settings/common/gen/configuration.ts";
import type { EngineState } from "./engine_state.ts";

const MS_PER_SECOND = 1000;

/** What the choice depends on. */
export interface IRoutedCall {
  readonly programId: string;
  readonly model: string;
  /** Tokens of the history and of the new messages. */
  readonly promptTokens: number;
  readonly expectedAnswerTokens: number;
  /** Whether the program has no history yet. */
  readonly isFirstCall: boolean;
  /** Engines that have failed this call. */
  readonly excluded: ReadonlySet<string>;
}

/** One engine's part in a choice, for the log. */
export interface ICandidate {
  readonly engineId: string;
  /** Expected time to the end of the call, in ms, with the weights of the preset. */
  readonly scoreMs: number;
  readonly waitMs: number;
  readonly cachedTokens: number;
}

export interface IChoice {
  readonly engine: EngineState;
  readonly reason: ChoiceReason;
  readonly waitMs: number;
  readonly candidates: readonly ICandidate[];
}

export enum ChoiceReason {
  /** The engine that holds the program's cache is good enough. */
  Warm = "warm",
  /** The engine with the least expected finish. */
  Best = "best",
}

/** Picks an engine for a call. */
export interface IEngineChooser {
  /** Returns undefined when no engine may take the call. */
  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined;
}

/**
 * Takes the engine with the least expected finish: waiting, prefill of what is not cached, and
 * decoding. Stays with the engine that holds the cache unless another is better by a margin.
 */
export class ExpectedFinishChooser implements IEngineChooser {
  readonly #preset: () => Preset;

  constructor(preset: () => Preset) {
    this.#preset = preset;
  }

  choose(call: IRoutedCall, engines: readonly EngineState[]): IChoice | undefined {
    const usable = engines.filter((engine) => engine.accepts(call.model) && !call.excluded.has(engine.id));
    if (usable.length === 0) return undefined;
    const scored = usable.map((engine) => ({ engine, candidate: this.#score(call, engine) }));
    scored.sort((a, b) => a.candidate.scoreMs - b.candidate.scoreMs);
    const warm = this.#warmest(scored);
    const best = scored[0];
    const limit = best.candidate.scoreMs * (1 + this.#preset().stayMargin);
    const stays = warm !== undefined && warm.candidate.scoreMs <= limit;
    const chosen = stays ? warm : best;
    return {
      engine: chosen.engine,
      reason: stays ? ChoiceReason.Warm : ChoiceReason.Best,
      waitMs: chosen.candidate.waitMs,
      candidates: scored.map(({ candidate }) => candidate),
    };
  }

  #warmest(scored: readonly IScored[]): IScored | undefined {
    const warm = scored.filter(({ candidate }) => candidate.cachedTokens > 0);
    return warm.sort((a, b) => b.candidate.cachedTokens - a.candidate.cachedTokens)[0];
  }

  #score(call: IRoutedCall, engine: EngineState): ICandidate {
    const waitMs = expectedWaitMs(engine);
    const cachedTokens = Math.min(call.promptTokens, engine.cache.expectedTokens(call.programId));
    const { prefillTokensPerSecond, decodeTokensPerSecond } = engine.report!;
    const prefillMs = (call.promptTokens - cachedTokens) / prefillTokensPerSecond * MS_PER_SECOND;
    const decodeMs = call.expectedAnswerTokens / decodeTokensPerSecond * MS_PER_SECOND;
    const scoreMs = waitMs + prefillMs * this.#preset().cacheWeight + decodeMs;
    return { engineId: engine.id, scoreMs, waitMs, cachedTokens };
  }
}

interface IScored {
  readonly engine: EngineState;
  readonly candidate: ICandidate;
}

/** Expected time until an engine starts one more call, in ms. */
export function expectedWaitMs(engine: EngineState): number {
  const ahead = engine.load - engine.slots + 1;
  return ahead <= 0 ? 0 : ahead * engine.meanCallMs / engine.slots;
}
