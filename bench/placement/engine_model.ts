/** A model engine in virtual time: batches that share each step, and prompts read between steps. */

/** Time of a step of one request, in ms, and what each further one and each token of context adds. */
const STEP_MS = 1.14;
const STEP_PER_REQUEST_MS = 0.0323;
const STEP_PER_CONTEXT_TOKEN_MS = 7.67e-7;
const PREFILL_TOKENS_PER_MS = 336;

/** One turn as an engine runs it. */
export interface ITurnWork {
  readonly lineId: string;
  readonly sharedId: string;
  readonly sharedTokens: number;
  /** Tokens of the line's own history, with the new input. */
  readonly ownTokens: number;
  readonly answerTokens: number;
  readonly onDone: () => void;
}

interface IRunning {
  readonly work: ITurnWork;
  prefillLeft: number;
  answerLeft: number;
}

export class EngineModel {
  readonly id: string;
  readonly #slots: number;
  readonly #queue: ITurnWork[] = [];
  #running: IRunning[] = [];
  /** Own tokens of each line, and shared beginnings, that are kept. */
  readonly #kept = new Map<string, number>();
  /** Prompt tokens that were read. */
  prefilled = 0;

  constructor(id: string, slots: number) {
    this.id = id;
    this.#slots = slots;
  }

  get load(): number {
    return this.#running.length + this.#queue.length;
  }

  start(work: ITurnWork): void {
    this.#queue.push(work);
  }

  /** Passes 1 ms. */
  tick(): void {
    while (this.#running.length < this.#slots && this.#queue.length > 0) this.#admit(this.#queue.shift()!);
    let leftMs = 1;
    for (const running of this.#running) {
      if (running.prefillLeft <= 0) continue;
      const read = Math.min(running.prefillLeft, leftMs * PREFILL_TOKENS_PER_MS);
      running.prefillLeft -= read;
      leftMs -= read / PREFILL_TOKENS_PER_MS;
    }
    if (leftMs > 0) this.#decode(leftMs);
  }

  #admit(work: ITurnWork): void {
    const { sharedId, sharedTokens, lineId, ownTokens } = work;
    const missing = this.#kept.has(sharedId) ? 0 : sharedTokens;
    const own = Math.max(0, ownTokens - (this.#kept.get(lineId) ?? 0));
    this.prefilled += missing + own;
    this.#kept.set(sharedId, sharedTokens);
    this.#running.push({ work, prefillLeft: missing + own, answerLeft: work.answerTokens });
  }

  #decode(ms: number): void {
    const decoding = this.#running.filter(({ prefillLeft }) => prefillLeft <= 0);
    if (decoding.length === 0) return;
    const context = decoding.reduce((sum, { work }) => sum + work.sharedTokens + work.ownTokens, 0);
    const stepMs = STEP_MS + STEP_PER_REQUEST_MS * decoding.length + STEP_PER_CONTEXT_TOKEN_MS * context;
    for (const running of decoding) running.answerLeft -= ms / stepMs;
    const done = decoding.filter(({ answerLeft }) => answerLeft <= 0);
    if (done.length === 0) return;
    this.#running = this.#running.filter((running) => !done.includes(running));
    for (const { work } of done) {
      this.#kept.set(work.lineId, work.ownTokens + work.answerTokens);
      work.onDone();
    }
  }
}

/** Time of a turn on an idle engine that holds all but its new input, in ms. */
export function idleTurnMs({ newTokens, answerTokens }: { newTokens: number; answerTokens: number }): number {
  return newTokens / PREFILL_TOKENS_PER_MS + answerTokens * (STEP_MS + STEP_PER_REQUEST_MS);
}
