/** Which parts of prompts an engine is expected to have in its cache. */
import type { IPromptHome } from "../../turns/common/prompt_homes.ts";

export interface ICachedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Beginnings that one report names at most: as many turns as an instance ends between two reports in bursts. */
const MAX_PREFIXES = 32;

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

/**
 * Expected caches of all engines, from the requests that this instance has placed and from what the
 * others say of the parts that many prompts begin with. Load pattern: few long shared beginnings. An
 * instance that knew its own placements alone would crowd its programs on the engines that it has used.
 */
export class PromptCacheMap {
  readonly #engines = new Map<string, EngineCache>();
  readonly #prefixes = new Map<string, IPromptHome>();

  cachedTokens(engineId: string, parts: readonly ICachedPart[]): number {
    return this.#engines.get(engineId)?.cachedTokens(parts) ?? 0;
  }

  /** Notes that an engine has read a prompt for this instance. `capacity` is its memory in tokens. */
  use(engineId: string, { parts, capacity }: { parts: readonly ICachedPart[]; capacity: number }): void {
    for (const { id, tokens } of parts.slice(0, -1)) {
      this.#prefixes.set(`${engineId}/${id}`, { backendId: engineId, partId: id, tokens });
    }
    const cache = this.#engines.get(engineId) ?? new EngineCache();
    cache.use(parts, capacity);
    this.#engines.set(engineId, cache);
  }

  /** Notes that an engine has a part, as another instance saw it. */
  hear({ backendId, partId, tokens }: IPromptHome): void {
    const cache = this.#engines.get(backendId) ?? new EngineCache();
    cache.use([{ id: partId, tokens }], Infinity);
    this.#engines.set(backendId, cache);
  }

  /** Beginnings of prompts that requests of this instance had read since the last call, for the others. */
  takePrefixes(): IPromptHome[] {
    const prefixes = [...this.#prefixes.values()].slice(-MAX_PREFIXES);
    this.#prefixes.clear();
    return prefixes;
  }

  /** Forgets an engine that is gone or has started anew. */
  forget(engineId: string): void {
    this.#engines.delete(engineId);
  }
}
