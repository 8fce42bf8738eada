/** In-memory fake of a consumer group of the platform, which moves a partition only once its holder has given it up. */
import { Effect } from "effect";
import type {
  IAssignment,
  IGroupJoin,
  IPartition,
  IPartitionOwner,
} from "../../src/services/store/common/partitioned_log.ts";

export interface IMemberGroupOptions {
  readonly parts: number;
  readonly now: () => number;
  /** Whether a partition that moves starts a new generation, beside changes of the members. */
  readonly countsMoves: boolean;
  /** Whether a change of the members moves as few partitions as possible. */
  readonly isSticky: boolean;
}

interface IMember {
  lastJoinMs: number;
  ttlMs: number;
}

interface ISlot {
  readonly partition: IPartition;
  /** Member that holds the partition; empty if there is none. */
  holder: string;
  /** Member that is to hold the partition. */
  target: string;
  /** Generation in which the holder was told to give the partition up. */
  movedIn: number;
}

export class MemberGroup {
  readonly #opts: IMemberGroupOptions;
  readonly #members = new Map<string, IMember>();
  #slots: ISlot[] = [];
  #generation = 0;

  constructor(opts: IMemberGroupOptions) {
    this.#opts = opts;
  }

  /** Joins a member or renews its membership. */
  join({ member, topics, ttlMs, generation }: IGroupJoin): Effect.Effect<IAssignment> {
    return Effect.sync(() => {
      const now = this.#opts.now();
      this.#setTopics(topics);
      this.#expire(now);
      const isNew = !this.#members.has(member);
      this.#members.set(member, { lastJoinMs: now, ttlMs });
      if (isNew) this.#rebalance();
      for (const slot of this.#slots) {
        if (slot.holder !== member || slot.target === member || generation < slot.movedIn) continue;
        slot.holder = slot.target;
        if (this.#opts.countsMoves) this.#generation += 1;
      }
      const partitions = this.#slots.filter(({ holder, target }) => holder === member && target === member)
        .map(({ partition }) => partition);
      return { generation: this.#generation, partitions };
    });
  }

  leave(member: string): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.#members.delete(member)) this.#rebalance();
    });
  }

  owners(): Effect.Effect<readonly IPartitionOwner[]> {
    return Effect.sync(() => {
      this.#expire(this.#opts.now());
      return this.#slots.map(({ partition, holder }) => ({ partition, member: holder }));
    });
  }

  /** Moves all partitions at once, without asking their holders. */
  reassignAll(offset: number): void {
    const names = [...this.#members.keys()];
    if (names.length === 0) return;
    this.#generation += 1;
    this.#slots.forEach((slot, index) => {
      slot.holder = slot.target = names[(index + offset) % names.length];
      slot.movedIn = this.#generation;
    });
  }

  /** Prolongs all memberships, as the platform's times pause while its store is down. */
  pause(ms: number): void {
    for (const member of this.#members.values()) member.lastJoinMs += ms;
  }

  #setTopics(topics: readonly string[]): void {
    if (this.#slots.length > 0) return;
    this.#slots = topics.flatMap((topic) =>
      Array.from(
        { length: this.#opts.parts },
        (_, part) => ({ partition: { topic, part }, holder: "", target: "", movedIn: 0 }),
      )
    );
  }

  #expire(now: number): void {
    const lost = [...this.#members].filter(([, { lastJoinMs, ttlMs }]) => now - lastJoinMs > ttlMs);
    for (const [name] of lost) this.#members.delete(name);
    if (lost.length > 0) this.#rebalance();
  }

  #rebalance(): void {
    this.#generation += 1;
    const names = [...this.#members.keys()];
    const share = Math.ceil(this.#slots.length / Math.max(1, names.length));
    const counts = new Map<string, number>(names.map((name) => [name, 0]));
    const isKept = ({ target }: ISlot) => {
      const count = counts.get(target);
      if (!this.#opts.isSticky || count === undefined || count >= share) return false;
      counts.set(target, count + 1);
      return true;
    };
    const moved = this.#slots.filter((slot) => !isKept(slot));
    moved.forEach((slot, index) => {
      const least = [...counts].sort((a, b) => a[1] - b[1])[0]?.[0] ?? "";
      slot.target = this.#opts.isSticky || names.length === 0 ? least : names[index % names.length];
      if (least !== "") counts.set(slot.target, counts.get(slot.target)! + 1);
      slot.movedIn = this.#generation;
    });
    for (const slot of this.#slots) {
      if (!this.#members.has(slot.holder)) slot.holder = slot.target;
    }
  }
}
