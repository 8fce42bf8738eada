/** The engine that last processed each prompt part, as known to the owner of the programs. */
import type { PromptHome } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";

/** The engine that processed a part of a prompt and may still have it in its cache. */
export interface IPromptHome {
  readonly partId: string;
  readonly backendId: string;
  /** Tokens of the part, including those generated after it. */
  readonly tokens: number;
}

/** Maximum number of parts: covers a few minutes of turns at 25 turns/s. */
const MAX_ENTRIES = 4000;

/**
 * LRU cache of routing hints. A hint routes a turn to the engine that has the session's history in its prompt
 * cache, whichever instance receives the turn. Hints are held in memory only: without one, an engine
 * processes the history again.
 */
export class PromptHomeCache {
  readonly #homes = new Map<string, PromptHome>();

  record(home: PromptHome): void {
    this.#homes.delete(home.partId);
    this.#homes.set(home.partId, home);
    if (this.#homes.size <= MAX_ENTRIES) return;
    const [oldest] = this.#homes.keys();
    this.#homes.delete(oldest);
  }

  /** Home of the longest known prefix: that of the session itself, or of the session it branched from. */
  findLongestPrefix(partIds: readonly string[]): PromptHome | undefined {
    const partId = partIds.findLast((id) => this.#homes.has(id));
    return partId === undefined ? undefined : this.#homes.get(partId);
  }
}
