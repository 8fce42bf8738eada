/** Tracks which prompt parts each engine is expected to have in its prefix cache. */
import type { IPromptHome } from "../../turns/common/prompt_home_cache.ts";

export interface ICacheablePart {
  readonly id: string;
  readonly tokens: number;
}

/** Maximum prefixes in one report: the turns that an instance completes between two reports during bursts. */
const MAX_PREFIXES = 32;

/** Expected cache of one engine, with parts in least-recently-used order. */
class EngineCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Tokens of the longest cached prefix of `parts`. */
  cachedTokens(parts: readonly ICacheablePart[]): number {
    let sum = 0;
    for (const { id, tokens } of parts) {
      const cached = this.#parts.get(id);
      if (cached === undefined) break;
      sum += Math.min(cached, tokens);
    }
    return sum;
  }

  /** Marks parts as most recently used and evicts the least recently used ones beyond `capacity` tokens. */
  touch(parts: readonly ICacheablePart[], capacity: number): void {
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
 * Expected prefix caches of all engines, derived from requests of this instance and from the prompt
 * prefixes that other instances report. Designed for workloads with few, long shared prefixes. Without
 * the reports, an instance would concentrate its programs on the engines that it has already used.
 */
export class PromptCacheIndex {
  readonly #engines = new Map<string, EngineCache>();
  readonly #prefixes = new Map<string, IPromptHome>();

  cachedTokens(engineId: string, parts: readonly ICacheablePart[]): number {
    return this.#engines.get(engineId)?.cachedTokens(parts) ?? 0;
  }

  /** Records that an engine has processed a prompt for this instance. `capacity` is its KV cache in tokens. */
  recordPrompt(
    engineId: string,
    { parts, capacity }: { parts: readonly ICacheablePart[]; capacity: number },
  ): void {
    for (const { id, tokens } of parts.slice(0, -1)) {
      this.#prefixes.set(`${engineId}/${id}`, { backendId: engineId, partId: id, tokens });
    }
    const cache = this.#engines.get(engineId) ?? new EngineCache();
    cache.touch(parts, capacity);
    this.#engines.set(engineId, cache);
  }

  /** Records that an engine has cached a part, as reported by another instance. */
  recordReportedPart({ backendId, partId, tokens }: IPromptHome): void {
    const cache = this.#engines.get(backendId) ?? new EngineCache();
    cache.touch([{ id: partId, tokens }], Infinity);
    this.#engines.set(backendId, cache);
  }

  /** Returns and clears the prompt prefixes that engines have processed for this instance since the last call. */
  takeUnreportedPrefixes(): IPromptHome[] {
    const prefixes = [...this.#prefixes.values()].slice(-MAX_PREFIXES);
    this.#prefixes.clear();
    return prefixes;
  }

  /** Removes an engine that was removed from the directory or has restarted. */
  removeEngine(engineId: string): void {
    this.#engines.delete(engineId);
  }
}
