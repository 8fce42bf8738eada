/** Interface to the platform's append-only log service. */
import type { Effect } from "effect";
import type { PlatformError } from "../../../base/common/errors.ts";

/** Stream of membership, program and key records. */
export const JOURNAL_STREAM = "journal";

/** Stream of published configurations. */
export const CONFIGURATION_STREAM = "configuration";

export interface ILogEntry {
  readonly offset: number;
  readonly data: Uint8Array;
}

export interface ILogPage {
  readonly entries: readonly ILogEntry[];
  /** Offset from which the next read continues. */
  readonly next: number;
  /** Oldest offset that is still retained. */
  readonly oldest: number;
}

export interface ILogReadOptions {
  readonly from: number;
  readonly limit: number;
  /** Maximum time to wait for a first entry, in ms. */
  readonly waitMs: number;
}

/** Append-only streams with offsets, total order within a stream and limited retention. */
export interface ILogService {
  /** Appends an entry and returns its offset. After an error the entry may or may not have been appended. */
  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError>;
  /** Reads entries in order, from the given offset or the oldest one that is retained. */
  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError>;
}
