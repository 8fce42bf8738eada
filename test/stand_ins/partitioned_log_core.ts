/** In-memory fake of the platform's partitioned log, with the faults that clients must tolerate. */
import { Effect } from "effect";
import type {
  IAppendOutcome,
  IAssignment,
  IGroupJoin,
  IKeyedItems,
  IKeyedPage,
  IKeyedWrite,
  IPartition,
  IPartitionedLog,
  IPartitionOwner,
  IPartitionPage,
  IPartitionReadOptions,
} from "../../src/services/store/common/partitioned_log.ts";
import { isValidKey, StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";

interface IPartitionState {
  first: number;
  readonly records: Uint8Array[];
}

interface IGroupState {
  generation: number;
  topics: readonly string[];
  readonly members: Set<string>;
}

/** Number of partitions of each topic. */
const PARTS = 8;

/** Fault applied to calls until it is reset. */
export enum LogFault {
  None = "none",
  /** Calls are refused and have no effect. */
  Refuse = "refuse",
  /** Appends take effect, but their responses are lost. */
  LoseAnswers = "lose-answers",
  /**
   * Appends are not answered. They take effect when {@link PartitionedLogCore.applyDelayedAppends} is called,
   * if the partition still ends at the expected offset.
   */
  Delay = "delay",
}

export class PartitionedLogCore implements IPartitionedLog {
  fault = LogFault.None;
  appends = 0;
  readonly #partitions = new Map<string, IPartitionState>();
  readonly #keyed = new Map<string, { key: string; value: Uint8Array | undefined; offset: number }[]>();
  readonly #keyedOldest = new Map<string, number>();
  readonly #groups = new Map<string, IGroupState>();
  #delayedAppends: (() => void)[] = [];

  append({ topic, part }: IPartition, records: readonly Uint8Array[], expectedEnd: number) {
    return Effect.suspend((): Effect.Effect<IAppendOutcome, StoreError> => {
      if (this.fault === LogFault.Refuse) return refusedError();
      this.appends += 1;
      const state = this.#partition(topic, part);
      const apply = (): IAppendOutcome => {
        const end = state.first + state.records.length;
        if (end !== expectedEnd) return { isAppended: false, end };
        state.records.push(...records);
        return { isAppended: true, end: end + records.length };
      };
      if (this.fault === LogFault.Delay) {
        this.#delayedAppends.push(apply);
        return noAnswerError();
      }
      const outcome = apply();
      return this.fault === LogFault.LoseAnswers ? noAnswerError() : Effect.succeed(outcome);
    });
  }

  /** Applies the appends delayed by {@link LogFault.Delay}. */
  applyDelayedAppends(): void {
    for (const apply of this.#delayedAppends.splice(0)) apply();
  }

  read({ topic, part }: IPartition, { from }: IPartitionReadOptions) {
    return Effect.suspend((): Effect.Effect<IPartitionPage, StoreError> => {
      if (this.fault === LogFault.Refuse) return refusedError();
      const { first, records } = this.#partition(topic, part);
      if (from < first) {
        return Effect.fail(new StoreError(StoreFault.HistoryTruncated, "deleted", { oldest: first }));
      }
      const rest = records.slice(from - first).map((data, index) => ({ offset: from + index, data }));
      return Effect.succeed({ records: rest, end: first + records.length });
    });
  }

  trim({ topic, part }: IPartition, before: number) {
    return Effect.sync(() => {
      const state = this.#partition(topic, part);
      state.records.splice(0, Math.max(0, before - state.first));
      state.first = Math.max(state.first, before);
    });
  }

  /** Writes a key as the platform does; an undefined value deletes it. */
  putKey(topic: string, key: string, value: Uint8Array | undefined): void {
    const changes = this.#keyed.get(topic) ?? [];
    changes.push({ key, value, offset: changes.length });
    this.#keyed.set(topic, changes);
  }

  writeKeys(topic: string, writes: readonly IKeyedWrite[]) {
    return Effect.suspend((): Effect.Effect<void, StoreError> => {
      const isStorable = writes.every(({ key }) => isValidKey(key));
      if (this.fault === LogFault.Refuse || !isStorable) return refusedError();
      this.appends += 1;
      const apply = () => writes.forEach(({ key, value }) => this.putKey(topic, key, value));
      if (this.fault === LogFault.Delay) this.#delayedAppends.push(apply);
      else apply();
      return this.fault === LogFault.None ? Effect.void : noAnswerError();
    });
  }

  /** Compacts a keyed topic: only the newest record of each key remains. */
  compact(topic: string): void {
    this.#keyedOldest.set(topic, this.#keyed.get(topic)?.length ?? 0);
  }

  readLatestValues(topic: string) {
    return Effect.suspend((): Effect.Effect<IKeyedItems, StoreError> => {
      if (this.fault === LogFault.Refuse) return refusedError();
      const changes = this.#keyed.get(topic) ?? [];
      const newest = new Map(changes.map((change) => [change.key, change]));
      const items = [...newest.values()].flatMap(({ key, value, offset }) =>
        value === undefined ? [] : [{ key, value, offset }]
      );
      return Effect.succeed({ items, end: changes.length });
    });
  }

  readKeyChanges(topic: string, { from }: IPartitionReadOptions) {
    return Effect.suspend((): Effect.Effect<IKeyedPage, StoreError> => {
      if (this.fault === LogFault.Refuse) return refusedError();
      const oldest = this.#keyedOldest.get(topic) ?? 0;
      if (from < oldest) {
        return Effect.fail(new StoreError(StoreFault.HistoryTruncated, "deleted", { oldest }));
      }
      const changes = this.#keyed.get(topic) ?? [];
      return Effect.succeed({ changes: changes.slice(from), end: changes.length });
    });
  }

  /** Assigns the partitions of a group's topics evenly; every membership change starts a new generation. */
  join({ group, member, topics }: IGroupJoin) {
    return Effect.suspend((): Effect.Effect<IAssignment, StoreError> => {
      if (this.fault === LogFault.Refuse) return refusedError();
      const state = this.#group(group);
      if (!state.members.has(member)) {
        state.members.add(member);
        state.generation += 1;
      }
      state.topics = topics;
      const partitions = ownersOf(state).filter((row) => row.member === member)
        .map(({ partition }) => partition);
      return Effect.succeed({ generation: state.generation, partitions });
    });
  }

  leave(group: string, member: string) {
    return Effect.sync(() => {
      const state = this.#group(group);
      if (state.members.delete(member)) state.generation += 1;
    });
  }

  owners(group: string): Effect.Effect<readonly IPartitionOwner[], StoreError> {
    return Effect.suspend(() =>
      this.fault === LogFault.Refuse ? refusedError() : Effect.succeed(ownersOf(this.#group(group)))
    );
  }

  #partition(topic: string, part: number): IPartitionState {
    const key = `${topic}/${part}`;
    const state = this.#partitions.get(key) ?? { first: 0, records: [] };
    this.#partitions.set(key, state);
    return state;
  }

  #group(group: string): IGroupState {
    const state = this.#groups.get(group) ?? { generation: 0, topics: [], members: new Set<string>() };
    this.#groups.set(group, state);
    return state;
  }
}

function ownersOf({ topics, members }: IGroupState): IPartitionOwner[] {
  const names = [...members];
  if (names.length === 0) return [];
  return topics.flatMap((topic) => Array.from({ length: PARTS }, (_, part) => ({ topic, part })))
    .map((partition, index) => ({ partition, member: names[index % names.length] }));
}

function refusedError(): Effect.Effect<never, StoreError> {
  return Effect.fail(new StoreError(StoreFault.Refused, "refused"));
}

function noAnswerError(): Effect.Effect<never, StoreError> {
  return Effect.fail(new StoreError(StoreFault.NoResponse, "no answer"));
}
