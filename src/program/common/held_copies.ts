/** Copies of other instances' records, held while the log service is unavailable. */
import type { HeldCopy } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

/** Maximum number of copies that one instance holds. */
export const MAX_HELD_COPIES = 20_000;

export class HeldCopies {
  readonly #copies = new Map<string, HeldCopy[]>();
  #count = 0;

  get count(): number {
    return this.#count;
  }

  /** Stores copies. Returns false, and stores none, if they would exceed the maximum. */
  hold(copies: readonly HeldCopy[]): boolean {
    if (this.#count + copies.length > MAX_HELD_COPIES) return false;
    for (const copy of copies) {
      const key = ownerKey(copy);
      const held = this.#copies.get(key);
      if (held === undefined) this.#copies.set(key, [copy]);
      else held.push(copy);
    }
    this.#count += copies.length;
    return true;
  }

  /** Copies of records of the given slices, those of each owner in the order in which it wrote them. */
  collect(slices: readonly number[]): HeldCopy[] {
    const requested = new Set(slices);
    return [...this.#copies.values()].flat().filter(({ record }) =>
      record !== undefined && requested.has(record.slice)
    );
  }

  /** Deletes copies of an owner's records once the records are in the journal. */
  drop(owner: Pick<HeldCopy, "owner" | "incarnation">, copyIds: readonly number[]): void {
    const key = ownerKey(owner);
    const dropped = new Set(copyIds);
    const before = this.#copies.get(key) ?? [];
    const kept = before.filter((copy) => !dropped.has(copy.copyId));
    this.#count -= before.length - kept.length;
    if (kept.length === 0) this.#copies.delete(key);
    else this.#copies.set(key, kept);
  }
}

function ownerKey({ owner, incarnation }: Pick<HeldCopy, "owner" | "incarnation">): string {
  return `${owner}/${incarnation}`;
}
