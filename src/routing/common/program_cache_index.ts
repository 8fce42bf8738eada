/**
 * Tracks the expected contents of an engine's prefix cache, from the calls of this instance and the cache
 * events of the engine. A gap in the events marks all entries uncertain but does not discard them.
 */
import type { ICacheEvent } from "./model_engine.ts";
import { CacheEventKind } from "./model_engine.ts";

/** Share of an entry's tokens that is expected to be cached after events were missed. */
const UNCERTAIN_SHARE = 0.5;

interface ICacheEntry {
  tokens: number;
  isCertain: boolean;
}

/** Expected cache contents of one engine, by program. */
export class ProgramCacheIndex {
  readonly #entries = new Map<string, ICacheEntry>();
  #lastSequence = 0;

  get lastSequence(): number {
    return this.#lastSequence;
  }

  /** Tokens of a program's prompt that the engine is expected to have cached. */
  expectedTokens(programId: string): number {
    const entry = this.#entries.get(programId);
    if (entry === undefined) return 0;
    return entry.isCertain ? entry.tokens : entry.tokens * UNCERTAIN_SHARE;
  }

  /** Records that a call of the program has completed on the engine. */
  recordCall(programId: string, tokens: number): void {
    this.#entries.set(programId, { tokens, isCertain: true });
  }

  /** Removes a program whose cache was released or moved to another engine. */
  remove(programId: string): void {
    this.#entries.delete(programId);
  }

  /** Removes all entries after the engine restarted with an empty cache. */
  clear(): void {
    this.#entries.clear();
    this.#lastSequence = 0;
  }

  get programIds(): Iterable<string> {
    return this.#entries.keys();
  }

  /** Applies events sorted by sequence number; events that were applied before are skipped. */
  applyEvents(events: readonly ICacheEvent[]): void {
    for (const event of events) {
      if (event.sequence <= this.#lastSequence) continue;
      if (event.sequence > this.#lastSequence + 1) this.#markAllUncertain();
      this.#lastSequence = event.sequence;
      this.#applyEvent(event);
    }
  }

  #applyEvent({ kind, programId, tokens }: ICacheEvent): void {
    if (kind === CacheEventKind.Evicted) {
      this.#entries.delete(programId);
      return;
    }
    const knownTokens = this.#entries.get(programId)?.tokens ?? 0;
    // A delayed event may report a shorter prefix than a later call of this instance has cached.
    this.#entries.set(programId, { tokens: Math.max(knownTokens, tokens), isCertain: true });
  }

  #markAllUncertain(): void {
    for (const entry of this.#entries.values()) entry.isCertain = false;
  }
}
