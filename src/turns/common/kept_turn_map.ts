/** Completed turns that later turns continue, held in memory. */
import type { KeptTurn } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { scopedId } from "../../services/organisations/common/organisation_scope.ts";

/** Multiplier on the retention period before a turn is evicted: allows for clock skew between instances. */
const RETENTION_FACTOR = 1.5;
/** Time by which the clock of another instance may be ahead, in ms. */
const MAX_CLOCK_LEAD_MS = 24 * 60 * 60_000;

/** Turns by id and organisation, until their retention period has passed. */
export class KeptTurnMap {
  readonly #turns = new Map<string, KeptTurn>();
  /** Turns by id. Several organisations may use the same id, as callers choose it. */
  readonly #byId = new Map<string, readonly KeptTurn[]>();
  #bytes = 0;

  get size(): number {
    return this.#turns.size;
  }

  /** Total content size. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Returns the turn of an organisation. */
  get(turnId: string, organisation?: string): KeptTurn | undefined {
    return this.#turns.get(scopedId(turnId, organisation));
  }

  /** Returns the turn of an organisation or, if it has none of this id, that of another one. */
  find(turnId: string, organisation?: string): KeptTurn | undefined {
    return this.get(turnId, organisation) ?? this.#byId.get(turnId)?.[0];
  }

  /** Whether the organisation of a turn already has one of its id. */
  has({ turnId, organisation }: KeptTurn): boolean {
    return this.get(turnId, organisation) !== undefined;
  }

  put(turn: KeptTurn): void {
    if (this.has(turn)) return;
    const { turnId, organisation, content } = turn;
    this.#turns.set(scopedId(turnId, organisation), turn);
    this.#byId.set(turnId, [...this.#byId.get(turnId) ?? [], turn]);
    this.#bytes += content.length;
  }

  values(): IterableIterator<KeptTurn> {
    return this.#turns.values();
  }

  /**
   * Removes expired turns. Retention periods differ, and a record of another writer may have any time: one far in the future counts
   * as expired, as it would otherwise be kept for good.
   */
  evictExpired(now: number): void {
    for (const [key, turn] of this.#turns) {
      const ageMs = now - turn.storedAtMs;
      if (ageMs >= -MAX_CLOCK_LEAD_MS && ageMs <= turn.retainMs * RETENTION_FACTOR) continue;
      this.#bytes -= turn.content.length;
      this.#turns.delete(key);
      const others = this.#byId.get(turn.turnId)!.filter((other) => other !== turn);
      if (others.length > 0) this.#byId.set(turn.turnId, others);
      else this.#byId.delete(turn.turnId);
    }
  }
}
