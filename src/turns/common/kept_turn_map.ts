/** Completed turns that later turns continue, held in memory. */
import type { KeptTurn } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";

/** Multiplier on the retention period before a turn is evicted: allows for clock skew between instances. */
const RETENTION_FACTOR = 1.5;

/** Turns by id, until their retention period has passed. */
export class KeptTurnMap {
  readonly #turns = new Map<string, KeptTurn>();
  #bytes = 0;

  get size(): number {
    return this.#turns.size;
  }

  /** Total content size. */
  get bytes(): number {
    return this.#bytes;
  }

  get(turnId: string): KeptTurn | undefined {
    return this.#turns.get(turnId);
  }

  put(turn: KeptTurn): void {
    if (this.#turns.has(turn.turnId)) return;
    this.#turns.set(turn.turnId, turn);
    this.#bytes += turn.content.length;
  }

  values(): IterableIterator<KeptTurn> {
    return this.#turns.values();
  }

  /** Removes expired turns, up to the first that is not: turns are added in the order of time. */
  evictExpired(now: number): void {
    for (const [turnId, turn] of this.#turns) {
      if (now - turn.storedAtMs <= turn.retainMs * RETENTION_FACTOR) return;
      this.#bytes -= turn.content.length;
      this.#turns.delete(turnId);
    }
  }
}
