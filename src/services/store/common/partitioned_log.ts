/** The platform's partitioned log, as the system uses it: conditional appends, keyed topics and groups. */
import type { Effect } from "effect";
import VError from "verror";

/** How a call to the store failed. */
export enum StoreFault {
  /** The store refused the call; nothing was done. */
  Refused = "refused",
  /** No answer: a write may have been executed, or may be executed later. */
  NoAnswer = "no-answer",
  /** The records asked for have been deleted. */
  HistoryGone = "history-gone",
}

export class StoreError extends VError {
  readonly _tag = "StoreError";
  readonly fault: StoreFault;
  /** Oldest offset that is still kept, with {@link StoreFault.HistoryGone}. */
  readonly oldest: number;

  constructor(
    fault: StoreFault,
    detail: string,
    { cause, oldest = 0 }: { cause?: Error; oldest?: number } = {},
  ) {
    super({ name: "StoreError", cause }, "%s", detail);
    this.fault = fault;
    this.oldest = oldest;
  }
}

/** One partition of a topic. */
export interface IPartition {
  readonly topic: string;
  /** Number of the partition within its topic, from 0. */
  readonly part: number;
}

export interface IAppendOutcome {
  /** Whether the records are in the log; otherwise the partition did not end at the expected offset. */
  readonly isAppended: boolean;
  /** Offset after the last record of the partition. */
  readonly end: number;
}

export interface IPartitionRecord {
  readonly offset: number;
  readonly data: Uint8Array;
}

export interface IPartitionPage {
  readonly records: readonly IPartitionRecord[];
  /** Offset after the last record of the partition. */
  readonly end: number;
}

export interface IPartitionReadOptions {
  readonly from: number;
  /** Longest wait for a first record, in ms. */
  readonly waitMs: number;
}

/** The newest value of a key. */
export interface IKeyedItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly offset: number;
}

export interface IKeyedItems {
  readonly items: readonly IKeyedItem[];
  /** Offset from which to read on for later changes. */
  readonly end: number;
}

/** A change of a key: without a value the key was dropped. */
export interface IKeyedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

export interface IKeyedPage {
  readonly changes: readonly IKeyedChange[];
  readonly end: number;
}

export interface IGroupJoin {
  readonly group: string;
  readonly member: string;
  readonly topics: readonly string[];
  /** Time after which a silent member loses its partitions, in ms. */
  readonly ttlMs: number;
  /** Last generation that the member has received; 0 at first. */
  readonly generation: number;
}

export interface IAssignment {
  readonly generation: number;
  readonly partitions: readonly IPartition[];
}

export interface IPartitionOwner {
  readonly partition: IPartition;
  /** Empty when no member holds the partition. */
  readonly member: string;
}

export interface IPartitionedLog {
  /** Appends records if the partition ends at `at`, all or none. */
  append(
    partition: IPartition,
    records: readonly Uint8Array[],
    at: number,
  ): Effect.Effect<IAppendOutcome, StoreError>;
  read(partition: IPartition, opts: IPartitionReadOptions): Effect.Effect<IPartitionPage, StoreError>;
  /** Deletes the records before an offset. */
  trim(partition: IPartition, before: number): Effect.Effect<void, StoreError>;
  /** The newest value of each key of a keyed topic. */
  newest(topic: string): Effect.Effect<IKeyedItems, StoreError>;
  readKeyed(topic: string, opts: IPartitionReadOptions): Effect.Effect<IKeyedPage, StoreError>;
  /** Joins a group or stays in it. */
  join(join: IGroupJoin): Effect.Effect<IAssignment, StoreError>;
  leave(group: string, member: string): Effect.Effect<void, StoreError>;
  owners(group: string): Effect.Effect<readonly IPartitionOwner[], StoreError>;
}
