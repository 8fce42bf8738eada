/** Model of an engine in virtual time: continuous batching in which prefill delays decode steps. */

/** Time of a decode step: a base, plus a term per request of the batch and per token of context. */
const DECODE_STEP_MS = 1.14;
const DECODE_STEP_PER_REQUEST_MS = 0.0323;
const DECODE_STEP_PER_CONTEXT_TOKEN_MS = 7.67e-7;
const PREFILL_TOKENS_PER_MS = 336;

/** The request of one turn to an engine. */
export interface IEngineRequest {
  readonly sessionId: string;
  readonly sharedPrefixId: string;
  readonly sharedPrefixTokens: number;
  /** Tokens of the session's history after the shared prefix, including the new input. */
  readonly sessionTokens: number;
  readonly answerTokens: number;
  readonly onDone: () => void;
}

interface IRunningRequest {
  readonly work: IEngineRequest;
  prefillTokensLeft: number;
  answerTokensLeft: number;
}

export class EngineModel {
  readonly id: string;
  readonly #slots: number;
  readonly #queue: IEngineRequest[] = [];
  #running: IRunningRequest[] = [];
  /** Cached tokens by session or shared prefix; nothing is evicted. */
  readonly #cachedTokens = new Map<string, number>();
  /** Prompt tokens prefilled so far. */
  prefilledTokens = 0;

  constructor(id: string, slots: number) {
    this.id = id;
    this.#slots = slots;
  }

  get load(): number {
    return this.#running.length + this.#queue.length;
  }

  enqueue(work: IEngineRequest): void {
    this.#queue.push(work);
  }

  /** Advances the engine by 1 ms. */
  tick(): void {
    while (this.#running.length < this.#slots && this.#queue.length > 0) this.#admit(this.#queue.shift()!);
    let leftMs = 1;
    for (const running of this.#running) {
      if (running.prefillTokensLeft <= 0) continue;
      const prefilled = Math.min(running.prefillTokensLeft, leftMs * PREFILL_TOKENS_PER_MS);
      running.prefillTokensLeft -= prefilled;
      leftMs -= prefilled / PREFILL_TOKENS_PER_MS;
    }
    if (leftMs > 0) this.#decode(leftMs);
  }

  #admit(work: IEngineRequest): void {
    const { sharedPrefixId, sharedPrefixTokens, sessionId, sessionTokens } = work;
    const missingPrefixTokens = this.#cachedTokens.has(sharedPrefixId) ? 0 : sharedPrefixTokens;
    const missingSessionTokens = Math.max(0, sessionTokens - (this.#cachedTokens.get(sessionId) ?? 0));
    this.prefilledTokens += missingPrefixTokens + missingSessionTokens;
    this.#cachedTokens.set(sharedPrefixId, sharedPrefixTokens);
    this.#running.push({
      work,
      prefillTokensLeft: missingPrefixTokens + missingSessionTokens,
      answerTokensLeft: work.answerTokens,
    });
  }

  #decode(ms: number): void {
    const decoding = this.#running.filter(({ prefillTokensLeft }) => prefillTokensLeft <= 0);
    if (decoding.length === 0) return;
    const contextTokens = decoding.reduce(
      (sum, { work }) => sum + work.sharedPrefixTokens + work.sessionTokens,
      0,
    );
    const stepMs = DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS * decoding.length +
      DECODE_STEP_PER_CONTEXT_TOKEN_MS * contextTokens;
    for (const running of decoding) running.answerTokensLeft -= ms / stepMs;
    const done = decoding.filter(({ answerTokensLeft }) => answerTokensLeft <= 0);
    if (done.length === 0) return;
    this.#running = this.#running.filter((running) => !done.includes(running));
    for (const { work } of done) {
      this.#cachedTokens.set(work.sessionId, work.sessionTokens + work.answerTokens);
      work.onDone();
    }
  }
}

/** Time of a turn on an idle engine that has cached all but the new input, in ms. */
export function idleTurnMs({ newTokens, answerTokens }: { newTokens: number; answerTokens: number }): number {
  return newTokens / PREFILL_TOKENS_PER_MS + answerTokens * (DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS);
}
