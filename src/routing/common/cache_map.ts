/**
 * What is known of the engines' prefix caches: from this instance's own calls, corrected by the
 * engines' events. A gap in the events makes the knowledge of that engine uncertain, not void.
 */
import type { ICacheEvent } from "./model_engine.ts";
import { CacheEventKind } from "./model_engine.ts";

/** Share of a believed cache entry that is counted on after events were missed. */
const UNCERTAIN_SHARE = 0.5;

interface ICacheEntry {
  tokens: number;
  isCertain: boolean;
}

/** Knowledge about one engine's cache. */
export class CacheMap {
  readonly #entries = new Map<string, ICacheEntry>();
  #lastSequence = 0;

  get lastSequence(): number {
    return this.#lastSequence;
  }

  /** Tokens of a program that the engine is expected to have cached. */
  expectedTokens(programId: string): number {
    const entry = this.#entries.get(programId);
    if (entry === undefined) return 0;
    return entry.isCertain ? entry.tokens : entry.tokens * UNCERTAIN_SHARE;
  }

  /** A call of the program has just run on the engine. */
  noteRun(programId: string, tokens: number): void {
    this.#entries.set(programId, { tokens, isCertain: true });
  }

  /** The engine was ordered to free the program's cache, or said that it did. */
  forget(programId: string): void {
    this.#entries.delete(programId);
  }

  /** The engine has started anew, with an empty cache. */
  clear(): void {
    this.#entries.clear();
    this.#lastSequence = 0;
  }

  get programs(): Iterable<string> {
    return this.#entries.keys();
  }

  /** Applies events in the order of their sequence numbers. */
  apply(events: readonly ICacheEvent[]): void {
    for (const event of events) {
      if (event.sequence <= this.#lastSequence) continue;
      if (event.sequence > this.#lastSequence + 1) this.#doubtAll();
      this.#lastSequence = event.sequence;
      this.#applyOne(event);
    }
  }

  #applyOne({ kind, programId, tokens }: ICacheEvent): void {
    if (kind === CacheEventKind.Evicted) {
      this.#entries.delete(programId);
      return;
    }
    const known = this.#entries.get(programId)?.tokens ?? 0;
    // A late event tells of an earlier, shorter prefix than the one this instance saw run.
    this.#entries.set(programId, { tokens: Math.max(known, tokens), isCertain: true });
  }

  #doubtAll(): void {
    for (const entry of this.#entries.values()) entry.isCertain = false;
  }
}
