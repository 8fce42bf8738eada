/** The platform's partitioned log in memory, with the faults that its users must bear. */
import { Effect } from "effect";
import type {
  IAppendOutcome,
  IAssignment,
  IGroupJoin,
  IKeyedItems,
  IKeyedPage,
  IPartition,
  IPartitionedLog,
  IPartitionOwner,
  IPartitionPage,
  IPartitionReadOptions,
} from "../../src/services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";

interface IPartitionState {
  first: number;
  readonly records: Uint8Array[];
}

interface IGroupState {
  generation: number;
  readonly members: Set<string>;
}

/** What happens to the next calls. */
export enum LogFault {
  None = "none",
  /** Calls are refused; nothing is done. */
  Refuse = "refuse",
  /** Appends are done, and their answers lost. */
  LoseAnswers = "lose-answers",
  /** Appends are not answered, and done when {@link PartitionedLogCore.runLate} is called, if they still apply. */
  Late = "late",
}

export class PartitionedLogCore implements IPartitionedLog {
  fault = LogFault.None;
  appends = 0;
  readonly #partitions = new Map<string, IPartitionState>();
  readonly #keyed = new Map<string, { key: string; value: Uint8Array | undefined; offset: number }[]>();
  readonly #keyedFirst = new Map<string, number>();
  readonly #groups = new Map<string, IGroupState>();
  #late: (() => void)[] = [];

  append({ topic, part }: IPartition, records: readonly Uint8Array[], at: number) {
    return Effect.suspend((): Effect.Effect<IAppendOutcome, StoreError> => {
      if (this.fault === LogFault.Refuse) return refused();
      this.appends += 1;
      const state = this.#partition(topic, part);
      const run = (): IAppendOutcome => {
        const end = state.first + state.records.length;
        if (end !== at) return { isAppended: false, end };
        state.records.push(...records);
        return { isAppended: true, end: end + records.length };
      };
      if (this.fault === LogFault.Late) {
        this.#late.push(run);
        return noAnswer();
      }
      const outcome = run();
      return this.fault === LogFault.LoseAnswers ? noAnswer() : Effect.succeed(outcome);
    });
  }

  /** Does the appends that were held back. */
  runLate(): void {
    for (const run of this.#late.splice(0)) run();
  }

  read({ topic, part }: IPartition, { from }: IPartitionReadOptions) {
    return Effect.suspend((): Effect.Effect<IPartitionPage, StoreError> => {
      if (this.fault === LogFault.Refuse) return refused();
      const { first, records } = this.#partition(topic, part);
      if (from < first) {
        return Effect.fail(new StoreError(StoreFault.HistoryGone, "deleted", { oldest: first }));
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

  /** Writes a key, or drops it, as the platform does. */
  putKey(topic: string, key: string, value: Uint8Array | undefined): void {
    const changes = this.#keyed.get(topic) ?? [];
    changes.push({ key, value, offset: changes.length });
    this.#keyed.set(topic, changes);
  }

  /** Deletes the history of a keyed topic; the newest record of each key stays. */
  compact(topic: string): void {
    this.#keyedFirst.set(topic, this.#keyed.get(topic)?.length ?? 0);
  }

  newest(topic: string) {
    return Effect.suspend((): Effect.Effect<IKeyedItems, StoreError> => {
      if (this.fault === LogFault.Refuse) return refused();
      const changes = this.#keyed.get(topic) ?? [];
      const newest = new Map(changes.map((change) => [change.key, change]));
      const items = [...newest.values()].flatMap(({ key, value, offset }) =>
        value === undefined ? [] : [{ key, value, offset }]
      );
      return Effect.succeed({ items, end: changes.length });
    });
  }

  readKeyed(topic: string, { from }: IPartitionReadOptions) {
    return Effect.suspend((): Effect.Effect<IKeyedPage, StoreError> => {
      if (this.fault === LogFault.Refuse) return refused();
      const oldest = this.#keyedFirst.get(topic) ?? 0;
      if (from < oldest) return Effect.fail(new StoreError(StoreFault.HistoryGone, "deleted", { oldest }));
      const changes = this.#keyed.get(topic) ?? [];
      return Effect.succeed({ changes: changes.slice(from), end: changes.length });
    });
  }

  /** Deals all partitions of a group's topics out evenly; every change of members is a generation. */
  join({ group, member, topics }: IGroupJoin) {
    return Effect.suspend((): Effect.Effect<IAssignment, StoreError> => {
      if (this.fault === LogFault.Refuse) return refused();
      const state = this.#group(group);
      if (!state.members.has(member)) {
        state.members.add(member);
        state.generation += 1;
      }
      const members = [...state.members];
      const partitions = topics.flatMap((topic) => Array.from({ length: 8 }, (_, part) => ({ topic, part })))
        .filter((_, index) => members[index % members.length] === member);
      return Effect.succeed({ generation: state.generation, partitions });
    });
  }

  leave(group: string, member: string) {
    return Effect.sync(() => {
      const state = this.#group(group);
      if (state.members.delete(member)) state.generation += 1;
    });
  }

  owners(): Effect.Effect<readonly IPartitionOwner[], StoreError> {
    return this.fault === LogFault.Refuse ? refused() : Effect.succeed([]);
  }

  #partition(topic: string, part: number): IPartitionState {
    const key = `${topic}/${part}`;
    const state = this.#partitions.get(key) ?? { first: 0, records: [] };
    this.#partitions.set(key, state);
    return state;
  }

  #group(group: string): IGroupState {
    const state = this.#groups.get(group) ?? { generation: 0, members: new Set<string>() };
    this.#groups.set(group, state);
    return state;
  }
}

function refused(): Effect.Effect<never, StoreError> {
  return Effect.fail(new StoreError(StoreFault.Refused, "refused"));
}

function noAnswer(): Effect.Effect<never, StoreError> {
  return Effect.fail(new StoreError(StoreFault.NoAnswer, "no answer"));
}
