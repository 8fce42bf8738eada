/** Which engine last read which line of turns, as the owner of the programs knows it. */
import type { PromptHome } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";

/** The engine that read a part of a prompt. */
export interface IPromptHome {
  readonly partId: string;
  readonly backendId: string;
  /** Tokens of the part, with those that were generated after it. */
  readonly tokens: number;
}

/** Parts that are remembered, the most recently read: the lines of some minutes at 25 turns a second. */
const MAX_PARTS = 4000;

/**
 * Hints that bring a line back to the engine that holds its history, through whichever instance its next
 * turn comes. They are kept in memory only: without one, the history is read again.
 */
export class PromptHomes {
  readonly #homes = new Map<string, PromptHome>();

  note(home: PromptHome): void {
    this.#homes.delete(home.partId);
    this.#homes.set(home.partId, home);
    if (this.#homes.size <= MAX_PARTS) return;
    const [oldest] = this.#homes.keys();
    this.#homes.delete(oldest);
  }

  /** The home of the last part that is known: of the line itself, or of the one that it branched off. */
  find(partIds: readonly string[]): PromptHome | undefined {
    const known = partIds.findLast((id) => this.#homes.has(id));
    return known === undefined ? undefined : this.#homes.get(known);
  }
}
