/** Which parts of prompts an engine is expected to have in its cache. */

export interface ICachedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Expected cache of one engine: parts in the order of their last use. */
class EngineCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Tokens of the prompt's leading parts that are cached. */
  cachedTokens(parts: readonly ICachedPart[]): number {
    let sum = 0;
    for (const { id, tokens } of parts) {
      const cached = this.#parts.get(id);
      if (cached === undefined) break;
      sum += Math.min(cached, tokens);
    }
    return sum;
  }

  use(parts: readonly ICachedPart[], capacity: number): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= capacity) return;
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}

/** Expected caches of all engines, from the requests that this instance has placed. */
export class PromptCacheMap {
  readonly #engines = new Map<string, EngineCache>();

  cachedTokens(engineId: string, parts: readonly ICachedPart[]): number {
    return this.#engines.get(engineId)?.cachedTokens(parts) ?? 0;
  }

  /** Notes that an engine has read a prompt. `capacity` is its memory in tokens. */
  use(engineId: string, { parts, capacity }: { parts: readonly ICachedPart[]; capacity: number }): void {
    const cache = this.#engines.get(engineId) ?? new EngineCache();
    cache.use(parts, capacity);
    this.#engines.set(engineId, cache);
  }

  /** Forgets an engine that is gone or has started anew. */
  forget(engineId: string): void {
    this.#engines.delete(engineId);
  }
}
