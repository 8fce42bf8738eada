/** Interface to the platform's partitioned log: conditional appends, keyed topics and consumer groups. */
import type { Effect } from "effect";
import VError from "verror";

/** Kind of failure of a call to the store. */
export enum StoreFault {
  /** The store rejected the call; it had no effect. */
  Refused = "refused",
  /** No response was received. A write may have been executed, or may still be executed later. */
  NoResponse = "no-answer",
  /** The requested records have been deleted. */
  HistoryTruncated = "history-gone",
}

/** Maximum length of a key of a keyed topic, in bytes of UTF-8. */
const MAX_KEY_BYTES = 255;

/** Whether a keyed topic can hold a key. */
export function isValidKey(key: string): boolean {
  return new TextEncoder().encode(key).length <= MAX_KEY_BYTES;
}

export class StoreError extends VError {
  readonly _tag = "StoreError";
  readonly fault: StoreFault;
  /** Oldest offset that is still retained; set with {@link StoreFault.HistoryTruncated}. */
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
  /** Whether the records were appended; false if the partition did not end at the expected offset. */
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
  /** Maximum time to wait for a first record, in ms. */
  readonly waitMs: number;
  /** Maximum size of the records of one page; the store's own limit by default. */
  readonly maxBytes?: number;
}

/** The latest value of a key. */
export interface IKeyedItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly offset: number;
}

export interface IKeyedItems {
  readonly items: readonly IKeyedItem[];
  /** Offset from which later changes are read. */
  readonly end: number;
}

/** A change of a key. The value is undefined when the key was deleted. */
export interface IKeyedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/** A value to write under a key; undefined deletes the key. */
export interface IKeyedWrite {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

export interface IKeyedPage {
  readonly changes: readonly IKeyedChange[];
  readonly end: number;
}

export interface IGroupJoin {
  readonly group: string;
  readonly member: string;
  readonly topics: readonly string[];
  /** Time after which a member that does not renew its membership loses its partitions, in ms. */
  readonly ttlMs: number;
  /** Last group generation that the member has received; 0 before the first. */
  readonly generation: number;
}

export interface IAssignment {
  readonly generation: number;
  readonly partitions: readonly IPartition[];
}

export interface IPartitionOwner {
  readonly partition: IPartition;
  /** Empty when no member owns the partition. */
  readonly member: string;
}

export interface IPartitionedLog {
  /** Appends all records atomically if the partition ends at `expectedEnd`, and none otherwise. */
  append(
    partition: IPartition,
    records: readonly Uint8Array[],
    expectedEnd: number,
  ): Effect.Effect<IAppendOutcome, StoreError>;
  read(partition: IPartition, opts: IPartitionReadOptions): Effect.Effect<IPartitionPage, StoreError>;
  /** Deletes the records before an offset. */
  trim(partition: IPartition, before: number): Effect.Effect<void, StoreError>;
  /** Reads the latest value of each key of a keyed topic. */
  readLatestValues(topic: string): Effect.Effect<IKeyedItems, StoreError>;
  readKeyChanges(topic: string, opts: IPartitionReadOptions): Effect.Effect<IKeyedPage, StoreError>;
  /** Writes or deletes keys of a keyed topic, all or none. */
  writeKeys(topic: string, writes: readonly IKeyedWrite[]): Effect.Effect<void, StoreError>;
  /** Joins a group, or renews the membership. */
  join(join: IGroupJoin): Effect.Effect<IAssignment, StoreError>;
  leave(group: string, member: string): Effect.Effect<void, StoreError>;
  owners(group: string): Effect.Effect<readonly IPartitionOwner[], StoreError>;
}
