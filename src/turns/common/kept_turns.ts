/** Turns whose content later turns go on from. */
import type { KeptTurn } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";

/** Factor on the retention after which a turn is forgotten: covers clocks that differ between instances. */
const RETENTION_MARGIN = 1.5;

/** Turns by their id, for as long as they are to be kept. */
export class KeptTurns {
  readonly #turns = new Map<string, KeptTurn>();
  #bytes = 0;

  get size(): number {
    return this.#turns.size;
  }

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

  /** Drops turns beyond their retention, which stand first as they were added in order of time. */
  forget(now: number): void {
    for (const [turnId, turn] of this.#turns) {
      if (now - turn.storedAtMs <= turn.retainMs * RETENTION_MARGIN) return;
      this.#bytes -= turn.content.length;
      this.#turns.delete(turnId);
    }
  }
}
