/**
 * Model of an engine in virtual time: continuous batching in which prefill delays decode steps. If the running requests need
 * more memory than there is, the newest of the least urgent ones is preempted and prefilled again.
 */

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
  /** The engine runs lower values first. */
  readonly urgency: number;
  readonly onDone: () => void;
}

export interface IEngineCapacity {
  readonly slots: number;
  /** Memory for the contexts of running requests and for cached prompts, in tokens. */
  readonly kvTokens: number;
}

interface IRunningRequest {
  readonly work: IEngineRequest;
  prefillTokensLeft: number;
  answerTokensLeft: number;
}

export class EngineModel {
  readonly id: string;
  readonly #capacity: IEngineCapacity;
  readonly #queue: IEngineRequest[] = [];
  #running: IRunningRequest[] = [];
  /** Cached tokens by session or shared prefix, least recently used first. */
  readonly #cachedTokens = new Map<string, number>();
  /** Prompt tokens prefilled so far. */
  prefilledTokens = 0;
  preemptions = 0;

  constructor(id: string, capacity: IEngineCapacity) {
    this.id = id;
    this.#capacity = capacity;
  }

  get load(): number {
    return this.#running.length + this.#queue.length;
  }

  enqueue(work: IEngineRequest): void {
    const index = this.#queue.findIndex(({ urgency }) => urgency > work.urgency);
    this.#queue.splice(index < 0 ? this.#queue.length : index, 0, work);
  }

  /** Advances the engine by 1 ms. */
  tick(): void {
    while (this.#running.length < this.#capacity.slots && this.#queue.length > 0) {
      const isFull = this.#contextTokens() + this.#queue[0].sessionTokens > this.#capacity.kvTokens;
      if (isFull && this.#running.length > 0) break;
      this.#admit(this.#queue.shift()!);
    }
    let leftMs = 1;
    for (const running of this.#running) {
      if (running.prefillTokensLeft <= 0) continue;
      const prefilled = Math.min(running.prefillTokensLeft, leftMs * PREFILL_TOKENS_PER_MS);
      running.prefillTokensLeft -= prefilled;
      leftMs -= prefilled / PREFILL_TOKENS_PER_MS;
    }
    if (leftMs > 0) this.#decode(leftMs);
    this.#freeMemory();
  }

  /** Tokens that the running requests hold; a shared prefix is held once. */
  #contextTokens(): number {
    const prefixes = new Map(
      this.#running.map(({ work }) => [work.sharedPrefixId, work.sharedPrefixTokens]),
    );
    let sum = 0;
    for (const tokens of prefixes.values()) sum += tokens;
    for (const { work, answerTokensLeft } of this.#running) {
      sum += work.sessionTokens + work.answerTokens - answerTokensLeft;
    }
    return sum;
  }

  /** Evicts cached prompts that no running request uses, then preempts requests until the rest fits. */
  #freeMemory(): void {
    const { kvTokens } = this.#capacity;
    while (this.#running.length > 1 && this.#contextTokens() > kvTokens) {
      const victim = this.#running.reduce((worst, next) =>
        next.work.urgency >= worst.work.urgency ? next : worst
      );
      this.#running = this.#running.filter((running) => running !== victim);
      this.#cachedTokens.delete(victim.work.sessionId);
      this.preemptions += 1;
      // The tokens generated so far are kept and prefilled again with the prompt.
      const { work, answerTokensLeft } = victim;
      const generated = work.answerTokens - answerTokensLeft;
      this.enqueue({
        ...work,
        sessionTokens: work.sessionTokens + generated,
        answerTokens: answerTokensLeft,
      });
    }
    const inUse = new Set(
      this.#running.flatMap(({ work }) => [work.sessionId, work.sharedPrefixId]),
    );
    let idleTokens = 0;
    for (const [id, tokens] of this.#cachedTokens) if (!inUse.has(id)) idleTokens += tokens;
    const maxIdleTokens = kvTokens - this.#contextTokens();
    for (const [id, tokens] of this.#cachedTokens) {
      if (idleTokens <= maxIdleTokens) break;
      if (inUse.has(id)) continue;
      this.#cachedTokens.delete(id);
      idleTokens -= tokens;
    }
  }

  #touch(id: string, tokens: number): void {
    this.#cachedTokens.delete(id);
    this.#cachedTokens.set(id, tokens);
  }

  #admit(work: IEngineRequest): void {
    const { sharedPrefixId, sharedPrefixTokens, sessionId, sessionTokens } = work;
    const missingPrefixTokens = this.#cachedTokens.has(sharedPrefixId) ? 0 : sharedPrefixTokens;
    const missingSessionTokens = Math.max(0, sessionTokens - (this.#cachedTokens.get(sessionId) ?? 0));
    this.prefilledTokens += missingPrefixTokens + missingSessionTokens;
    this.#touch(sharedPrefixId, sharedPrefixTokens);
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
      this.#touch(work.sessionId, work.sessionTokens + work.answerTokens);
      work.onDone();
    }
  }
}

/** Time of a turn on an idle engine that has cached all but the new input, in ms. */
export function idleTurnMs({ newTokens, answerTokens }: { newTokens: number; answerTokens: number }): number {
  return newTokens / PREFILL_TOKENS_PER_MS + answerTokens * (DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS);
}
